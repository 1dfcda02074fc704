"""Test weights."""
