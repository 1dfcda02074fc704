"""Test log."""
