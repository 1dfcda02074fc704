"""Hold the configuration, the upstreams and the instances in force."""
