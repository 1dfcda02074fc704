"""Run the checks and reports of the project."""
