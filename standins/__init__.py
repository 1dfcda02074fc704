"""Stand in for the platform, the upstreams, trainers and routers."""
