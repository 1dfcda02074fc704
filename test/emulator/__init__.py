"""Test the guarantees of real instances on the emulated platform."""
