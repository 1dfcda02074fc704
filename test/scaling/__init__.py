"""Test the decisions on how many upstreams there should be."""
