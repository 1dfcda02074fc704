"""Serve callers and trainers."""
