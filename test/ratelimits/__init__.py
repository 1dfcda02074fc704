"""Test the rate limits of upstreams."""
