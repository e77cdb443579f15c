"""Choice of the entries that take requests from an entry that reaches no target."""

import random
from collections.abc import Iterable

import attrs

MAX_PEERS = 6
"""Entries that are named to one entry."""

MAX_REPORT_AGE_S = 1.5
"""Time since its last report after which an entry is not named; it may be stopped or cut off."""


@attrs.frozen
class Peer:
    """Address at which an entry takes requests of others, empty while it takes none.

    ``reported_at`` is the loop time of its last report.
    """

    address: str
    reported_at: float


def choose_peers(peers: Iterable[Peer], now: float, rng: random.Random) -> tuple[str, ...]:
    """Return the addresses of a few random entries that take requests."""
    addresses = [peer.address for peer in peers if peer.address and now - peer.reported_at < MAX_REPORT_AGE_S]
    return tuple(rng.sample(addresses, min(MAX_PEERS, len(addresses))))
