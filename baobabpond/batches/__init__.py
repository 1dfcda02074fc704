"""Keep batches, their results and who runs them on the log."""
