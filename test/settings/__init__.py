"""Test settings."""
