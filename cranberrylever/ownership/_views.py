"""Cache of the view that is sent to entries."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cranberrylever.membership import EntryLease
from cranberrylever.routing import EntryAddress, View
from cranberrylever.state._view import build_view
from cranberrylever.wire import EntryReport

if TYPE_CHECKING:
    from cranberrylever.state._cluster import ClusterState


class ViewCache:
    """Caches the view and records the list of entries that each entry was sent.

    The list of entries is not part of the replicated state, so it can change within one view version.
    """

    def __init__(self, state: "ClusterState") -> None:
        self.state = state
        self.view: View | None = None
        self.sent_entries: dict[tuple[str, str], tuple[EntryAddress, ...]] = {}

    def reset(self) -> None:
        """Discard the view and the record of sent lists."""
        self.view = None
        self.sent_entries.clear()

    def discard_sent(self, entry: tuple[str, str]) -> None:
        """Discard the list sent to an entry that opened a new stream; an answer on the old may be lost."""
        self.sent_entries.pop(entry, None)

    def view_for(self, report: EntryReport, leases: Iterable[EntryLease]) -> View | None:
        """Return the view to send in answer to a report, or ``None`` if the entry has it."""
        addresses = {lease.entry_id: lease.address for lease in leases if lease.address}
        entries = tuple(EntryAddress(entry_id, addresses[entry_id]) for entry_id in sorted(addresses))
        key = (report.entry_id, report.incarnation)
        if report.applied_version >= self.state.view_version and self.sent_entries.get(key) == entries:
            return None
        self.sent_entries[key] = entries
        return self._cached_view(entries)

    def _cached_view(self, entries: tuple[EntryAddress, ...]) -> View:
        view = self.view
        if view is None or view.version != self.state.view_version or view.entries != entries:
            self.view = build_view(self.state, entries)
        return self.view
