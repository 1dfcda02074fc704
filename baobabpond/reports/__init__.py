"""Report on a service from its logs."""
