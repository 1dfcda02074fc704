"""Run the items of a shard's batches and load its upstreams' weights."""
