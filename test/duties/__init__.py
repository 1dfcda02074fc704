"""Test the duties that one instance does for all."""
