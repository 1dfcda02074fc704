"""Make the calls to the platform that are the duty of one instance."""
