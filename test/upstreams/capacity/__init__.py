"""Test the package of the same name."""
