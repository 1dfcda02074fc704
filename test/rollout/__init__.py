"""Test rollout."""
