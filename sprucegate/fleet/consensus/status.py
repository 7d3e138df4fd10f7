"""The state of the replicated log and of the rollout, as JSON for operators. The keys are part of the interface."""

from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.consensus.raft_state import Role
from sprucegate.fleet.rollout.disruption import WaitReason
from sprucegate.fleet.rollout.permit import STEP_WORDS, MaintenancePermit, PermitStep
from sprucegate.fleet.rollout.releases import PHASE_WORDS, Release
from sprucegate.fleet.rollout.rollout import RolloutStateMachine

PERMITS_MAX = 500  # in one answer
# A voter's role as operators see it.
ROLE_WORDS = {
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "asking",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


def voter_status(node: RaftNode) -> dict[str, object]:
    """Return the status of a voter that may vote."""
    configuration = node.configuration()
    return {
        "name": node.name,
        "role": ROLE_WORDS[node.role],
        "term": node.current_term,
        "leader": node.leader,
        "voters": list(configuration.voters),
        "learners": list(configuration.learners),
        "committed": node.commit_index,
        "last": node.log.last_index(),
    }


def rollout_status(machine: RolloutStateMachine) -> dict[str, object]:
    """Return the status of permits and releases."""
    permits = machine.permits
    out = permits.out()
    waits = machine.waits()
    open_permits = [permit for permit in permits.permits.values() if permit.step <= PermitStep.COLD]
    return {
        "fronts": sorted(permits.fronts),
        "out": out,
        "boxes": len(permits.boxes),
        "budgets": [list(budget) for budget in permits.budgets],
        "troubles": machine.releases.troubles,
        "permits": [_permit_status(permit, waits.get(permit.id)) for permit in open_permits[:PERMITS_MAX]],
        "history": machine.releases.history,
        "left_without_permit": permits.left_without_permit,
        "ended": {id: STEP_WORDS[permits.permits[id].step] for id in permits.ended[-PERMITS_MAX:]},
        "releases": [_release_status(name, release) for name, release in machine.releases.releases.items()],
    }


def _permit_status(permit: MaintenancePermit, wait: WaitReason | None) -> dict[str, object]:
    return {
        "id": permit.id,
        "box": permit.box,
        "by": permit.by,
        "why": permit.why,
        "release": permit.release,
        "version": permit.version,
        "step": STEP_WORDS[permit.step],
        "index": permit.index,
        "drained": permit.drained,
        "warm": permit.warm,
        "start": permit.start,
        "holder": permit.holder,
        "overdue": permit.overdue,
        "waits": tuple(wait) if wait is not None else None,
    }


def _release_status(name: str, release: Release) -> dict[str, object]:
    return {
        "name": name,
        "by": release.by,
        "phase": PHASE_WORDS[release.phase],
        "wave": release.wave,
        "why": release.why,
        "waves": [list(wave) for wave in release.plan.waves],
        "done": release.done,
        "ahead": release.to_roll_back,
        "version": release.plan.version,
        "former": release.plan.former,
    }
