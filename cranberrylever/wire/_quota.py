"""Messages about the tokens for the quotas of customers, as parts of the feed between entries and control."""

import attrs

TOKEN_LIFETIME_S = 0.3
"""Time after an entry sends a report within which it uses the tokens that come for waiting requests."""

AHEAD_TOKEN_LIFETIME_S = 2.0
"""The same for tokens that it gets ahead of requests."""

RECENT_S = 1.0
"""Length in seconds of the time for which an entry states how many requests of a customer began."""


@attrs.frozen
class QuotaNeed:
    """Tokens of one customer at an entry.

    ``held`` counts those that may still be used, ``waiting`` the requests that wait for one and have not been
    reported as waiting since the last answer, ``ahead`` those that the entry lacks to hold ahead of requests,
    and ``returned`` those that it has given up since the last report. ``recent`` counts the requests that
    began in the last ``RECENT_S`` seconds, only in the first report on a stream.
    """

    customer: str
    held: int = 0
    waiting: int = 0
    ahead: int = 0
    returned: int = 0
    recent: int = 0


@attrs.frozen
class QuotaReport:
    """Tokens of all customers at an entry; customers without a need are left out.

    ``process`` is the incarnation of the entry, a random number. ``received`` is the sequence of the last
    report whose answer brought grants. ``uptime`` is how long the process has run in seconds in the first
    report on a stream, -1 in later ones.
    """

    process: int
    received: int
    needs: tuple[QuotaNeed, ...] = ()
    uptime: float = -1.0


@attrs.frozen
class QuotaGrant:
    """Tokens for the requests of a customer: ``count`` for those that wait and ``ahead`` for later ones.

    ``next_in`` is the time in seconds until a token for the requests that still wait is expected, ``queue``
    the time until those that wait at all entries have theirs.
    """

    customer: str
    count: int
    ahead: int
    next_in: float
    queue: float = 0.0
