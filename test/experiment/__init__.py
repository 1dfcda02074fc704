"""Test the simulation, and the scheduling policies with it."""
