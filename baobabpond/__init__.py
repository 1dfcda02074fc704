"""Coordinate reinforcement learning rollouts, callers to upstreams."""

__version__ = '0.1.0'
