"""Test the platform plugin."""
