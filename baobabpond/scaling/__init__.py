"""Decide how many upstreams of a service each data centre needs.

Nothing calls this package yet; see docs/design/scaling.md.
"""
