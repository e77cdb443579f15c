"""HTTP client for targets that tells what was not sent from what was lost."""

from cranberrylever.targetlink._connection import (
    AnswerLostError,
    NotSentError,
    TargetAnswer,
    TargetConnection,
)
from cranberrylever.targetlink._pool import TargetPool

__all__ = ["AnswerLostError", "NotSentError", "TargetAnswer", "TargetConnection", "TargetPool"]
