"""Measure the decisions against a baseline, and the cost of control."""
