"""Keep connections to upstreams and carry requests over them."""
