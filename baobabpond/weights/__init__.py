"""Update each engine to the newest weight version."""
