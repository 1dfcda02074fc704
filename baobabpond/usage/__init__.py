"""Count the requests of client accounts, and report them to the platform."""
