"""One caller's request and the attempts to run it."""

import attrs
import xxhash

from cranberrylever.routing import ServiceView


@attrs.define(eq=False)
class Exchange:
    """A request as received from a caller; ``deadline`` is a loop time.

    ``path`` is the undecoded path, ``url_suffix`` the path with its query. ``is_forwarded`` tells that
    another entry sent the request, so it must not be forwarded again. ``open_dispatches`` counts the attempts
    of which a byte may have left and that no target refused.
    """

    service: ServiceView
    method: str
    path: str
    url_suffix: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float
    idempotent: bool
    request_id: str
    key_hash: int | None = None
    is_forwarded: bool = False
    open_dispatches: int = 0
    answer_started: bool = False
    own_fingerprint: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.open_dispatches > 0

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

    ``address`` differs from the target's when the request goes through another entry. ``blocked_at`` is set
    while a later view has taken the shard away: the last version in which the shard was still this target's.
    """

    exchange: Exchange
    target_id: str
    address: str
    incarnation: str
    view_version: int
    shard: int = -1
    fence: int = 0
    through_entry: bool = False
    sent: bool = False
    blocked_at: int | None = None
    started: float = 0.0
