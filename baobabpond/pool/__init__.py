"""Schedule the items of a shard's batches and the weight loads."""
