"""Recognise requests under which upstreams crash, and limit their runs."""
