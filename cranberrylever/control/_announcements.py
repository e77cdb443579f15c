"""Reads a target's announcement from JSON and checks each field."""

import math
from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

from cranberrylever.errors import AnnouncementError
from cranberrylever.membership import Announcement
from cranberrylever.names import NAME_REMEDY, is_name
from cranberrylever.settings import ValueProblemError, remote_address
from cranberrylever.structure import StructureError, structure

MAX_ANNOUNCEMENT_BYTES = 65_536
MAX_CAPACITY = 1_000_000
MAX_WEIGHT = 1_000_000.0


def parse_announcement(data: bytes) -> Result[Announcement, AnnouncementError]:
    """Read and validate an announcement.

    Unknown fields are ignored, because a target may run a later version than control.

    Args:
        data: The JSON document.

    Returns:
        The announcement, or an error of one line that names the field and the remedy.
    """
    try:
        announcement = structure(msgspec.json.decode(data), Announcement, ignore_unknown=True)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        problem = " ".join(str(error).split())
        return Err(AnnouncementError(f"the announcement is not valid JSON: {problem}", "send a JSON object"))
    except StructureError as error:
        return Err(AnnouncementError(str(error), "see docs/design.md, section 4.5, for its type"))
    error = next(_problems(announcement), None)
    return Ok(announcement) if error is None else Err(error)


def _problems(announcement: Announcement) -> Iterator[AnnouncementError]:
    for field in ("target_id", "service", "failure_domain", "incarnation"):
        if not is_name(getattr(announcement, field)):
            yield _wrong(announcement, field, NAME_REMEDY)
    try:
        remote_address(announcement.address)
    except ValueProblemError as error:
        yield _wrong(announcement, "address", error.remedy)
    for field, lowest in (("slots", 1), ("connections", 1), ("cold_capacity", 0)):
        if not lowest <= getattr(announcement, field) <= MAX_CAPACITY:
            yield _wrong(announcement, field, f"use {lowest} to {MAX_CAPACITY}")
    if not (math.isfinite(announcement.weight) and 0 < announcement.weight <= MAX_WEIGHT):
        yield _wrong(announcement, "weight", f"use a number above 0, at most {MAX_WEIGHT:g}")


def _wrong(announcement: Announcement, field: str, remedy: str) -> AnnouncementError:
    shown = repr(getattr(announcement, field))
    return AnnouncementError(f"{field}: {shown[:80]} is not allowed", remedy)
