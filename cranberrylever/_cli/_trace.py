"""The command that follows one request through log files."""

from pathlib import Path
from typing import Annotated

import typer

from cranberrylever.errors import SettingError


def trace(
    request_id: Annotated[str, typer.Argument(help="Id of the request, as its caller sent it.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of entries and control members.")],
) -> None:
    """Print what the logs say about one request and the changes that may explain its outcome."""
    from cranberrylever.tracing import read_lines
    from cranberrylever.tracing import trace as find_lines

    missing = [path for path in logs if not path.is_file()]
    if missing:
        raise SettingError(f"{missing[0]} is no file", "name log files of entries and control members")
    lines = find_lines(read_lines(logs), request_id)
    if not lines:
        raise SettingError(f"no line names request {request_id!r}", "name the logs of the entry that took it")
    for line in lines:
        typer.echo(line.text())
