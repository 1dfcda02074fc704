"""Tests of the calls between instances."""
