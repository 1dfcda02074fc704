"""Provide stand-ins for the platform, upstreams, trainers and routers."""
