"""HTTP client for targets that distinguishes requests that were not sent from lost answers."""

from cranberrylever.target_http._connection import (
    AnswerLostError,
    NotSentError,
    TargetAnswer,
    TargetConnection,
)
from cranberrylever.target_http._pool import TargetPool

__all__ = ["AnswerLostError", "NotSentError", "TargetAnswer", "TargetConnection", "TargetPool"]
