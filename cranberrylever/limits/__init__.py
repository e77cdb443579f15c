"""Retry budgets, concurrency limits, cold marks and crash suspects; the time is always an argument."""

from cranberrylever.limits._budget import TokenBucket
from cranberrylever.limits._cold import ColdMarks, LatencyJump
from cranberrylever.limits._concurrency import AdaptiveLimit, estimated_wait
from cranberrylever.limits._latency import RunningQuantile, TargetLatency
from cranberrylever.limits._suspects import BLOCKING_CRASHES, SuspectTable

__all__ = [
    "BLOCKING_CRASHES",
    "AdaptiveLimit",
    "ColdMarks",
    "LatencyJump",
    "RunningQuantile",
    "SuspectTable",
    "TargetLatency",
    "TokenBucket",
    "estimated_wait",
]
