"""Check the project and report on it."""
