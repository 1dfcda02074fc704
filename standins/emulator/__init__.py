"""Emulate the users' platform, its upstreams, trainers and callers."""
