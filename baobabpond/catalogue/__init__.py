"""Track the current configuration and the registered upstreams."""
