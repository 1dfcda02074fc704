"""Test the experiment tool, and the decisions by it."""
