"""What all control members need: streams between them, the log's state machine and calls to the leader."""

from cranberrylever.group._forwarding import FORWARDED_HEADER, LeaderForwarder
from cranberrylever.group._machine import AppliedCallback, ClusterMachine
from cranberrylever.group._peers import PeerLink, PeerTransport

__all__ = [
    "FORWARDED_HEADER",
    "AppliedCallback",
    "ClusterMachine",
    "LeaderForwarder",
    "PeerLink",
    "PeerTransport",
]
