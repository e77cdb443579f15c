"""HTTP client for targets that tells what was not sent from what was lost."""

from cranberrylever.target_http._connection import (
    AnswerLostError,
    NotSentError,
    TargetAnswer,
    TargetConnection,
)
from cranberrylever.target_http._pool import TargetPool

__all__ = ["AnswerLostError", "NotSentError", "TargetAnswer", "TargetConnection", "TargetPool"]
