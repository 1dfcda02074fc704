"""Build reports from the logs of instances."""
