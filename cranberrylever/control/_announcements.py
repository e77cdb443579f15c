"""Parses and validates target announcements in JSON."""

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
    """Parse and validate an announcement.

    Unknown fields are ignored, because a target may run a newer version than control.

    Args:
        data: The JSON document.

    Returns:
        The announcement, or an error whose one-line text names the field and the remedy.
    """
    try:
        announcement = structure(msgspec.json.decode(data), Announcement, ignore_unknown=True)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        problem = " ".join(str(error).split())
        return Err(AnnouncementError(f"the announcement is not valid JSON: {problem}", "send a JSON object"))
    except StructureError as error:
        return Err(AnnouncementError(str(error), "see docs/design.md, section 4.5, for its type"))
    error = next(_validation_errors(announcement), None)
    return Ok(announcement) if error is None else Err(error)


def _validation_errors(announcement: Announcement) -> Iterator[AnnouncementError]:
    for field in ("target_id", "service", "failure_domain", "incarnation"):
        if not is_name(getattr(announcement, field)):
            yield _invalid_field(announcement, field, NAME_REMEDY)
    try:
        remote_address(announcement.address)
    except ValueProblemError as error:
        yield _invalid_field(announcement, "address", error.remedy)
    for field, minimum in (("slots", 1), ("connections", 1), ("cold_capacity", 0)):
        if not minimum <= getattr(announcement, field) <= MAX_CAPACITY:
            yield _invalid_field(announcement, field, f"use {minimum} to {MAX_CAPACITY}")
    if not (math.isfinite(announcement.weight) and 0 < announcement.weight <= MAX_WEIGHT):
        yield _invalid_field(announcement, "weight", f"use a number above 0, at most {MAX_WEIGHT:g}")


def _invalid_field(announcement: Announcement, field: str, remedy: str) -> AnnouncementError:
    value = repr(getattr(announcement, field))
    return AnnouncementError(f"{field}: {value[:80]} is not allowed", remedy)
