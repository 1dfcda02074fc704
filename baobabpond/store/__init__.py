"""Follow the platform's log and append to it."""
