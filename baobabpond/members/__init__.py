"""Know which entry instances and upstreams are there."""
