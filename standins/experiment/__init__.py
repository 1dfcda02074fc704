"""Simulate workloads and faults against the pool's scheduling policies."""
