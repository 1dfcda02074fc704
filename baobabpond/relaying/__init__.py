"""Send requests to upstreams by way of instances that reach them."""
