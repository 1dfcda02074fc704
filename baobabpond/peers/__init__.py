"""Call other instances and serve their calls over Thrift."""
