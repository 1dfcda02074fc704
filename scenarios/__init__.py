"""Check the promises in behave scenarios that run real processes."""
