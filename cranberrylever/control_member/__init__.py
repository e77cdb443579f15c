"""Parts of every control member: peer transport, RPC server, state adapter, leader loop and forwarding."""

from cranberrylever.control_member._consensus_metrics import set_consensus_gauges
from cranberrylever.control_member._forwarding import FORWARDED_HEADER, LeaderForwarder
from cranberrylever.control_member._leader import LeaderBase
from cranberrylever.control_member._machine import AppliedCallback, StateMachineAdapter
from cranberrylever.control_member._peers import PeerLink, PeerTransport
from cranberrylever.control_member._rpc_server import RpcServer

__all__ = [
    "FORWARDED_HEADER",
    "AppliedCallback",
    "LeaderBase",
    "LeaderForwarder",
    "PeerLink",
    "PeerTransport",
    "RpcServer",
    "StateMachineAdapter",
    "set_consensus_gauges",
]
