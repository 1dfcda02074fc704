"""Test the counts of requests and their reports."""
