"""Prove the promises by scripted scenarios with real processes."""
