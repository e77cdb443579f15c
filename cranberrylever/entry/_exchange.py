"""Requests of callers and the attempts to run them."""

import asyncio

import attrs
import xxhash

from cranberrylever.entry import _headers
from cranberrylever.entry._targets import TargetState
from cranberrylever.routing import ServiceView


@attrs.define(eq=False)
class Exchange:
    """A request received from a caller or from another entry.

    Attributes:
        url_suffix: The undecoded path with its query.
        deadline: Loop time.
        is_forwarded: Whether another entry sent the request; it must not be forwarded again.
        is_claimed: Whether the other entry that sent the request holds its claim.
        possible_runs: Attempts that were sent at least in part and that no target refused.
        claimed_elsewhere: Whether another request with the same idempotency key holds the claim.
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
    possible_runs: int = 0
    response_started: bool = False
    claimed_elsewhere: bool = False
    cached_fingerprint: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.possible_runs > 0

    @property
    def outcome(self) -> str:
        """Outcome reported to the caller when there is no response."""
        return _headers.UNKNOWN if self.may_have_run or self.claimed_elsewhere else _headers.NOT_RUN

    @property
    def is_keyed(self) -> bool:
        """Whether the request must go to the owner of its key."""
        return self.key_hash is not None

    @property
    def fingerprint(self) -> str:
        """Hash of service, method, path, query, key hash and body; identical requests share it."""
        if not self.cached_fingerprint:
            digest = xxhash.xxh3_128()
            digest.update(
                f"{self.service.name}\n{self.method}\n{self.url_suffix}\n{self.key_hash}\n".encode()
            )
            digest.update(self.body)
            self.cached_fingerprint = digest.hexdigest()
        return self.cached_fingerprint


@attrs.define(eq=False)
class Attempt:
    """One dispatch of an exchange to a target under one view.

    Attributes:
        address: Address of the target, or of another entry when ``state`` is ``None``.
        last_owned_version: Set once a later view has taken the shard away from the target: the last view
            version in which the target owned the shard.
        transport: Transport of the connection; set when the request is sent.
        responder_incarnation: Target incarnation in the response.
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
    last_owned_version: int | None = None
    transport: asyncio.Transport | None = None
    responder_incarnation: str = ""

    def has_unsent_bytes(self) -> bool:
        """Return whether a part of the request is still in the write buffer of this process."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Abort the connection, which cancels the work at the target and fails the attempt."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()
