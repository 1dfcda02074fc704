"""Implement the command line."""
