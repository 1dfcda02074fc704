"""Test the package."""
