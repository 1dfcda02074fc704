"""Grant leases with fencing numbers through the log."""
