"""Test ui."""
