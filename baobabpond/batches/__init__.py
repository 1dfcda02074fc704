"""Store batches, their results and the shard's owner on the log."""
