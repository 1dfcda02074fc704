"""Test claims."""
