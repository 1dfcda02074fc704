"""Test leases."""
