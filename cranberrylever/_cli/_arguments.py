"""Command line options and arguments that several commands share."""

from typing import Annotated

import typer

Check = Annotated[
    bool,
    typer.Option(
        "--check", help="Validate the settings and exit.", envvar="CRANBERRYLEVER_CHECK", show_default=False
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON.", envvar="CRANBERRYLEVER_JSON", show_default=False)
]
TicketFile = Annotated[str, typer.Argument(help="Path of the ticket, a TOML file.", metavar="FILE")]
TicketNumber = Annotated[
    int | None,
    typer.Argument(help="Number of an accepted ticket (default: the accepted state).", metavar="NUMBER"),
]
