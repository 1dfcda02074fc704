"""Keep the request rates that upstreams state for all instances together."""
