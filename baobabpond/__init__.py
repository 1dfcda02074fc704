"""Coordinate reinforcement learning rollouts of callers on upstreams."""

__version__ = '0.1.0'
