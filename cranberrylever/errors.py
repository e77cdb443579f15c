"""Exceptions of the package; each message contains a remedy."""


class CranberryleverError(Exception):
    """Base class of all errors raised by this package.

    Args:
        message: What went wrong, with the value concerned.
        remedy: How the reader can correct it.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingError(CranberryleverError):
    """A flag or environment variable is missing or invalid."""


class InvariantError(CranberryleverError):
    """An invariant of the program is violated."""


class CodecError(CranberryleverError):
    """Bytes cannot be decoded as the expected message."""


class ClusterMismatchError(CranberryleverError):
    """A frame or a data directory belongs to another cluster."""


class StorageError(CranberryleverError):
    """The data directory cannot be read or written."""


class LogDamagedError(StorageError):
    """A stored file is missing or damaged, or a log record before the tail fails its checksum."""


class NotLeaderError(CranberryleverError):
    """The request reached a control member that is not the leader.

    Args:
        leader_id: Member id of the leader; ``None`` when it is unknown.
    """

    def __init__(self, leader_id: str | None = None) -> None:
        super().__init__("this control member is not the leader", f"ask {leader_id or 'another member'}")
        self.leader_id = leader_id


class ProposalLostError(CranberryleverError):
    """It is unknown whether a proposal is committed, because leadership changed."""


class TicketError(CranberryleverError):
    """A ticket is malformed or refers to an object that does not exist."""


class TicketConflictError(TicketError):
    """A ticket number is not higher than the last number accepted for an object in the ticket."""


class AnnouncementError(CranberryleverError):
    """A target's announcement is malformed."""


class RequestTooLargeError(CranberryleverError):
    """The body of a request to the operator API exceeds its limit."""


class NotRunError(CranberryleverError):
    """A request was refused before any byte of it was sent to a target."""


class UnknownOutcomeError(CranberryleverError):
    """A request may have run, but its answer is not available."""


class UnauthorizedError(CranberryleverError):
    """The bearer token is missing or invalid."""


class StartError(CranberryleverError):
    """A program cannot start."""


class ControlUnavailableError(CranberryleverError):
    """No control member answered within the timeout."""


class ControlRefusedError(CranberryleverError):
    """Control refused an operator's request."""
