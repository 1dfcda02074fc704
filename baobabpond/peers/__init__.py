"""Call other instances, and answer their calls, by Thrift."""
