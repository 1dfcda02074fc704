"""Pool connections to upstreams and send requests over them."""
