"""Targets whose answers said that they leave, for the reports to control.

Control makes such an observation known to all entries, in the same way as the announcement of a target that
leaves. It is reported until the view no longer offers the target for new requests.
"""

from collections.abc import Iterable

from cranberrylever.wire import RoutedTarget

MAX_DEPARTURES_REPORTED = 256
"""Limit on the departures in one report; further ones follow in the next."""

Incarnation = tuple[str, int]


class TargetDepartures:
    """Incarnations that said they leave and that control still publishes as usable."""

    def __init__(self) -> None:
        self.unconfirmed: dict[Incarnation, None] = {}

    def record(self, incarnation: Incarnation) -> None:
        """Record that a target says it leaves."""
        self.unconfirmed[incarnation] = None

    def build_report(self) -> tuple[Incarnation, ...]:
        """Return the incarnations for the next report."""
        return tuple(self.unconfirmed)[:MAX_DEPARTURES_REPORTED]

    def confirm(self, targets: Iterable[RoutedTarget]) -> None:
        """Drop all incarnations that the view does not list as usable any more."""
        usable = {target.incarnation for target in targets if target.usable}
        self.unconfirmed = {key: None for key in self.unconfirmed if key in usable}
