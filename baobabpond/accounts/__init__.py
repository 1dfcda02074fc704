"""Authenticate callers by the keys of their client accounts."""
