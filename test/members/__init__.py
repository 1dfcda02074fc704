"""Test members."""
