"""Learn how fast each upstream is and how much load it handles well."""
