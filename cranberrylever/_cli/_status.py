"""The ``status`` and ``version`` commands."""

import json
from typing import Any

import typer

import cranberrylever
from cranberrylever._cli._arguments import AsJson
from cranberrylever._cli._options import with_settings
from cranberrylever._cli._tables import format_table
from cranberrylever.operator_api import ClusterStatus
from cranberrylever.settings import OperatorSettings

_TABLE_COLUMNS = {
    "members": ("member_id", "role", "match_index", "heard_s"),
    "entries": (
        "entry_id",
        "address",
        "failure_domain",
        "ticket",
        "view_version",
        "settled_version",
        "lease_s",
    ),
    "targets": (
        "target_id",
        "service",
        "address",
        "failure_domain",
        "phase",
        "drain",
        "shards",
        "grant_s",
    ),
    "failure_domains": ("name", "state", "targets", "entries", "shards"),
    "services": ("name", "kind", "shards", "owned", "releasing", "free", "moving"),
}


@with_settings(OperatorSettings)
def status(settings: OperatorSettings, as_json: AsJson = False) -> None:
    """Print the state of the cluster."""
    from cranberrylever._cli._client import call_control, read_answer

    content = call_control(settings, "GET", "/v1/status")
    typer.echo(json.dumps(content) if as_json else format_status(read_answer(content, ClusterStatus)))


def format_status(cluster: ClusterStatus) -> str:
    """Return the state of the cluster as tables."""
    heading = (
        f"cluster {cluster.cluster_id}, leader {cluster.leader or 'unknown'}, term {cluster.term}, "
        f"commit index {cluster.commit_index}, view version {cluster.view_version}\n"
        f"accepted ticket {cluster.accepted_ticket}, in force at every entry {cluster.in_force_ticket}"
    )
    tables = [_format_objects(cluster, field, columns) for field, columns in _TABLE_COLUMNS.items()]
    return "\n\n".join([heading, *tables])


def _format_objects(cluster: ClusterStatus, field: str, columns: tuple[str, ...]) -> str:
    items: tuple[Any, ...] = getattr(cluster, field)
    rows = [[getattr(item, column) for column in columns] for item in items]
    return format_table(field.replace("_", " "), columns, rows)


def version() -> None:
    """Print the version."""
    typer.echo(cranberrylever.__version__)
