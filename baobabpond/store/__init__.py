"""Consume partitions of the platform's log and append to them."""
