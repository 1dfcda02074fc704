"""Execute non-idempotent requests at most once per idempotency key."""
