"""Discover the entry instances and the upstreams."""
