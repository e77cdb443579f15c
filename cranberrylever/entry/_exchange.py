"""One caller's request and the attempts to run it."""

import asyncio

import attrs
import xxhash

from cranberrylever.entry import _headers
from cranberrylever.entry._targets import TargetState
from cranberrylever.routing import ServiceView


@attrs.define(eq=False)
class Exchange:
    """A request as received from a caller; ``deadline`` is a loop time.

    ``url_suffix`` is the undecoded path with its query. ``is_forwarded`` tells that another entry sent the
    request, so it must not be forwarded again, and ``is_claimed`` that this other entry holds its claim.
    ``open_dispatches`` counts the attempts of which a byte may have left and that no target refused.
    ``held_elsewhere`` tells that another request with the same idempotency key holds the claim.
    """

    service: ServiceView
    method: str
    url_suffix: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float
    idempotent: bool
    request_id: str
    key_hash: int | None = None
    is_forwarded: bool = False
    is_claimed: bool = False
    open_dispatches: int = 0
    answer_started: bool = False
    held_elsewhere: bool = False
    own_fingerprint: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.open_dispatches > 0

    @property
    def outcome(self) -> str:
        """Outcome to tell the caller when there is no answer."""
        return _headers.UNKNOWN if self.may_have_run or self.held_elsewhere else _headers.NOT_RUN

    @property
    def is_keyed(self) -> bool:
        """Whether the request must go to the owner of its key."""
        return self.key_hash is not None

    @property
    def fingerprint(self) -> str:
        """Hash of what identifies the work: service, method, path, query and body."""
        if not self.own_fingerprint:
            digest = xxhash.xxh3_128()
            digest.update(
                f"{self.service.name}\n{self.method}\n{self.url_suffix}\n{self.key_hash}\n".encode()
            )
            digest.update(self.body)
            self.own_fingerprint = digest.hexdigest()
        return self.own_fingerprint


@attrs.define(eq=False)
class Attempt:
    """One dispatch of an exchange to a target under one view.

    ``address`` is that of another entry when ``state`` is ``None``. ``blocked_at`` is set while a later view
    has taken the shard away: the last version in which the shard was still this target's. ``transport`` is
    that of the connection once the request is being sent, and ``answered_by`` the incarnation that answered.
    """

    exchange: Exchange
    target_id: str
    address: str
    incarnation: str
    view_version: int
    shard: int = -1
    fence: int = 0
    state: TargetState | None = None
    sent: bool = False
    refused: bool = False
    aborted: bool = False
    finished: bool = False
    blocked_at: int | None = None
    transport: asyncio.Transport | None = None
    answered_by: str = ""

    def has_unsent_bytes(self) -> bool:
        """Whether a part of the request is still held by this process."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Break the connection, which ends the target's work and fails the attempt."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()
