"""Define the interfaces that a platform plugin implements."""
