"""Test the project's own tools."""
