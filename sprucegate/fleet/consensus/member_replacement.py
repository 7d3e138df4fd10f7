"""How the leader aligns the voters with the operator's file, one membership change at a time. No I/O, no clock.

A voter that lost state rejoins under another name: it is added as a learner and promoted to a voter, and its former
identity is removed. A voter that is no longer in the file is removed too.
"""

from collections.abc import Collection, Mapping

from sprucegate.fleet.consensus.durability_check import base_name
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.consensus.raft_state import Role
from sprucegate.units import SECOND

PRESENCE_TIMEOUT = 2 * SECOND  # a process counts as present for so long after its last StartAnnouncement

Members = tuple[tuple[str, ...], tuple[str, ...]]  # voters, learners


def next_membership(
    node: RaftNode, announced_at: Mapping[str, int], names: Collection[str], now: int
) -> Members | None:
    """Return the (voters, learners) of the next step, or None if there is none or the node doesn't lead.

    `announced_at`: when each process last announced its start (ns); `names`: the voters in the operator's file.
    """
    if node.role is not Role.LEADER:
        return None
    voters, learners = node.configuration()
    leaving = _unlisted_voter(node, names) or _superseded_voter(voters, announced_at, now)
    if leaving:
        return tuple(voter for voter in voters if voter != leaving), learners
    return _admission(node, announced_at, names, now)


def _unlisted_voter(node: RaftNode, names: Collection[str]) -> str:
    """Return a voter, other than the leader itself, that is no longer in the file, or ""."""
    for voter in node.configuration().voters:
        if base_name(voter) not in names and voter != node.name:
            return voter
    return ""


def _superseded_voter(voters: tuple[str, ...], announced_at: Mapping[str, int], now: int) -> str:
    """Return a former identity of a voter, or ""; of two later identities, the one that isn't present."""
    for name in voters:
        others = [voter for voter in voters if voter != name and base_name(voter) == base_name(name)]
        older = [voter for voter in others if len(voter) < len(name)]
        if older:
            return older[0]
        if others and now - announced_at.get(name, -PRESENCE_TIMEOUT) > PRESENCE_TIMEOUT:
            return name
    return ""


def _admission(
    node: RaftNode, announced_at: Mapping[str, int], names: Collection[str], now: int
) -> Members | None:
    """Return the members with a present process added as learner, or an up-to-date learner promoted to voter."""
    voters, learners = node.configuration()
    for name, last_announced in sorted(announced_at.items()):
        if now - last_announced > PRESENCE_TIMEOUT or name in voters or base_name(name) not in names:
            continue
        if name not in learners:
            others = [learner for learner in learners if base_name(learner) != base_name(name)]
            return voters, (*others, name)
        if node.match_index.get(name, 0) >= node.commit_index:
            return (*voters, name), tuple(learner for learner in learners if learner != name)
    return None
