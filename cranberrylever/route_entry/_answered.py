"""Answers that an entry gives itself."""


class AnsweredError(Exception):
    """The entry answers a request itself with an error.

    Args:
        status: HTTP status.
        outcome: Outcome for the log.
        message: Description of the error, for the caller and the log.
        retry_after: Seconds after which the caller may retry, ``None`` when a retry does not help.
    """

    def __init__(self, status: int, outcome: str, message: str, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.outcome = outcome
        self.message = message
        self.retry_after = retry_after
