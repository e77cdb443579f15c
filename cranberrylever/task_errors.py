"""Log lines and a metric for exceptions that no code has handled, which end one task and not the process."""

import asyncio
from typing import Any

from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics


def log_task_errors(log: Log, metrics: Metrics) -> None:
    """Log each exception of a task or callback of the running loop that nobody handles, and count it.

    Args:
        log: Program log; the line ``task_failed`` has the traceback and what failed.
        metrics: Metrics of the process; ``task_failures`` counts them.
    """

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        failed = context.get("task") or context.get("future") or context.get("handle")
        error = context.get("exception")
        metrics.count("task_failures")
        if isinstance(error, Exception):
            log.failure("task_failed", error, failed=repr(failed)[:200])
        else:
            log.write("error", "task_failed", error=str(context.get("message")), failed=repr(failed)[:200])

    asyncio.get_running_loop().set_exception_handler(handle)
