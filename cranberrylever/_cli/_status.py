"""The ``status`` and ``version`` commands."""

import json

import typer

import cranberrylever
from cranberrylever._cli._client import call_control
from cranberrylever._cli._options import with_settings
from cranberrylever._cli._tickets import AsJson
from cranberrylever.settings import OperatorSettings


@with_settings(OperatorSettings)
def status(settings: OperatorSettings, as_json: AsJson = False) -> None:
    """Print the state of the cluster."""
    content = call_control(settings, "GET", "/v1/status")
    typer.echo(json.dumps(content, indent=None if as_json else 2))


def version() -> None:
    """Print the version."""
    typer.echo(cranberrylever.__version__)
