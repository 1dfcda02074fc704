"""Decide how many upstreams of a service each data centre needs."""
