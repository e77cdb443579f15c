"""Typed errors of the project; each message names the remedy."""


class CranberryleverError(Exception):
    """Base class of all errors raised by this package.

    Args:
        message: What went wrong, with the value concerned.
        remedy: What the reader can do about it.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingError(CranberryleverError):
    """A flag or environment variable has a wrong value."""


class InvariantError(CranberryleverError):
    """A rule that must always hold was broken inside the program."""


class CodecError(CranberryleverError):
    """Bytes could not be decoded as the expected message."""


class ClusterMismatchError(CranberryleverError):
    """A frame or a data folder belongs to another cluster."""


class StorageError(CranberryleverError):
    """The data folder cannot be read or written."""


class LogDamagedError(StorageError):
    """A log record before the tail fails its check."""


class NotLeaderError(CranberryleverError):
    """The request reached a control member that is not the leader.

    Args:
        leader_id: Member id of the leader, when known.
    """

    def __init__(self, leader_id: str | None = None) -> None:
        super().__init__("this control member is not the leader", f"ask {leader_id or 'another member'}")
        self.leader_id = leader_id


class ProposalLostError(CranberryleverError):
    """A proposal may or may not be committed, because leadership changed."""


class TicketError(CranberryleverError):
    """A ticket is malformed or names something that does not exist."""


class TicketConflictError(TicketError):
    """A ticket number is not higher than the last one of an object that it touches."""


class AnnouncementError(CranberryleverError):
    """A target's announcement is malformed."""


class RequestTooLargeError(CranberryleverError):
    """The body of a request to the operator API exceeds its limit."""


class NotRunError(CranberryleverError):
    """A request was refused before any byte of it left for a target."""


class UnknownOutcomeError(CranberryleverError):
    """A request may have run; its answer is not available."""


class UnauthorizedError(CranberryleverError):
    """The bearer token is missing or wrong."""


class StartError(CranberryleverError):
    """A program could not start."""


class ControlUnavailableError(CranberryleverError):
    """No control member answered in time."""


class ControlRefusedError(CranberryleverError):
    """Control refused an operator's request."""
