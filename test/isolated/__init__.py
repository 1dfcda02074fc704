"""Tests that run alone, one at a time, after all other checks."""
