"""Test how the answers of other processes are read."""
