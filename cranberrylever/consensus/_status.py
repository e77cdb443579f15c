"""Status of the members of the group as one member sees it."""

from cranberrylever.consensus._config import MemberStatus
from cranberrylever.consensus._log import is_voter
from cranberrylever.consensus._node import RaftNode


def member_status(node: RaftNode, member: str, now: float) -> MemberStatus:
    """Return the status of ``member`` as ``node`` sees it at ``now`` (loop time in seconds)."""
    if member == node.config.member_id:
        folder_id, match_index, heard_at = node.folder_id, node.persisted_index, now
        votes = node.may_vote()
    else:
        folder = node.peer_folders.get(member)
        folder_id = folder.folder_id if folder else ""
        heard_at = folder.heard_at if folder else None
        match_index = 0
        _, membership = node.memberships.at(node.commit_index)
        votes = is_voter(membership, member, folder_id, folder.founder if folder else False)
        if node.leadership is not None:
            match_index = node.leadership.progress[member].match_index
            votes = votes and node.leadership.counts_toward_quorum(member)
    role = "voter" if votes else "learner"
    if member == node.leader_id:
        role = "leader"
    return MemberStatus(member, role, folder_id, match_index, heard_at)
