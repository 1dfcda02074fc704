"""Test http."""
