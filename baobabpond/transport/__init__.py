"""Open connections to other processes and read their answers."""
