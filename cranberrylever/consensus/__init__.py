"""Raft consensus: node, storage, transport and the driver that connects them."""

from cranberrylever.consensus._config import ConsensusConfig, MemberStatus, Role, Timings
from cranberrylever.consensus._disk import DiskStorage, open_disk_storage, reset_disk_folder
from cranberrylever.consensus._driver import RaftDriver, create_driver
from cranberrylever.consensus._files import FileOperations
from cranberrylever.consensus._state_machine import StateMachine
from cranberrylever.consensus._storage import MemoryDisk, MemoryStorage, Storage
from cranberrylever.consensus._tolerance import voters_needed
from cranberrylever.consensus._transport import MemoryNetwork, MemoryTransport, Receiver, Transport

__all__ = [
    "ConsensusConfig",
    "DiskStorage",
    "FileOperations",
    "MemberStatus",
    "MemoryDisk",
    "MemoryNetwork",
    "MemoryStorage",
    "MemoryTransport",
    "RaftDriver",
    "Receiver",
    "Role",
    "StateMachine",
    "Storage",
    "Timings",
    "Transport",
    "create_driver",
    "open_disk_storage",
    "reset_disk_folder",
    "voters_needed",
]
