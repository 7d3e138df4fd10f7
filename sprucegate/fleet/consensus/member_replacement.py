"""How the leader brings the voters in line with the operator's file, one membership change at a time. No I/O, no clock.

A voter that lost state comes back under another name: it joins as a learner, becomes a voter, and its former identity
leaves. A voter that the file names no more leaves too.
"""

from collections.abc import Collection, Mapping

from sprucegate.fleet.consensus.durability_check import base_name
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.consensus.raft_state import Role
from sprucegate.units import SECOND

PRESENT_FOR = 2 * SECOND  # since a newcomer's last message

Members = tuple[tuple[str, ...], tuple[str, ...]]  # voters, learners


def next_membership(
    node: RaftNode, newcomers: Mapping[str, int], names: Collection[str], now: int
) -> Members | None:
    """Return the (voters, learners) of the next step, or None where there is none or the node doesn't lead.

    `newcomers`: when each was last heard (ns); `names`: who is to vote, by the operator's file.
    """
    if node.role is not Role.LEADER:
        return None
    voters, learners = node.configuration()
    leaving = _unlisted_voter(node, names) or _superseded_voter(voters, newcomers, now)
    if leaving:
        return tuple(voter for voter in voters if voter != leaving), learners
    return _admission(node, newcomers, names, now)


def _unlisted_voter(node: RaftNode, names: Collection[str]) -> str:
    """Return a voter other than the leader that the file names no more, or ""."""
    for voter in node.configuration().voters:
        if base_name(voter) not in names and voter != node.name:
            return voter
    return ""


def _superseded_voter(voters: tuple[str, ...], newcomers: Mapping[str, int], now: int) -> str:
    """Return a former identity of a voter, or ""; of two later identities, the one that isn't heard."""
    for name in voters:
        others = [voter for voter in voters if voter != name and base_name(voter) == base_name(name)]
        older = [voter for voter in others if len(voter) < len(name)]
        if older:
            return older[0]
        if others and now - newcomers.get(name, -PRESENT_FOR) > PRESENT_FOR:
            return name
    return ""


def _admission(
    node: RaftNode, newcomers: Mapping[str, int], names: Collection[str], now: int
) -> Members | None:
    """Return the members with a newcomer as learner, or with a learner that has the log as voter."""
    voters, learners = node.configuration()
    for name, last_heard in sorted(newcomers.items()):
        if now - last_heard > PRESENT_FOR or name in voters or base_name(name) not in names:
            continue
        if name not in learners:
            others = [learner for learner in learners if base_name(learner) != base_name(name)]
            return voters, (*others, name)
        if node.match_index.get(name, 0) >= node.commit_index:
            return (*voters, name), tuple(learner for learner in learners if learner != name)
    return None
