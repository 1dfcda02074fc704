"""Grant leases with fencing tokens through the log."""
