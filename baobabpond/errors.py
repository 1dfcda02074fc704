"""Define the error that the command line prints as one line."""


class UserError(Exception):
    """Report invalid input or a failure that the user can act on."""

    def __init__(self, message: str, exit_code: int = 1) -> None:
        super().__init__(message)
        self.exit_code = exit_code
