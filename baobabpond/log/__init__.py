"""Read and append the records of the platform's log service."""
