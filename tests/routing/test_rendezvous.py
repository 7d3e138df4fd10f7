"""Rendezvous.best returns the same nodes as scoring and sorting the whole group."""

import random
import sys
from types import SimpleNamespace

import pytest

from sprucegate.routing.hashing import hash32
from sprucegate.routing.rendezvous import Rendezvous, label_of, lane_of, score


def group(count, weights, seed=1):
    rng = random.Random(seed)
    return [
        SimpleNamespace(
            id=node_id, label=label_of(node_id), lane=lane_of(label_of(node_id)), weight=weights(rng)
        )
        for node_id in rng.sample(range(1 << 60), count)
    ]


def rendezvous(nodes):
    hashing = Rendezvous()
    for position, node in enumerate(nodes):
        hashing.insert(position, node, node.weight)
    return hashing


def by_sorting(nodes, key):
    seed = hash32(key)
    return sorted(nodes, key=lambda node: (score(node.weight, hash32(node.label, seed)), node.id))


@pytest.mark.parametrize("count", [1, 2, 31, 33, 200, 3200])
@pytest.mark.parametrize(
    "weights",
    [lambda rng: 1.0, lambda rng: rng.choice([1, 2, 8]), lambda rng: rng.uniform(0.01, 100)],
    ids=["alike", "three", "any"],
)
@pytest.mark.parametrize("limit", [1, 8, 64])
def test_best_equals_sorting_all_nodes(count, weights, limit):
    nodes = group(count, weights)
    hashing = rendezvous(nodes)
    for number in range(8):
        key = number.to_bytes(12, "big")
        assert hashing.best(key, limit) == by_sorting(nodes, key)[:limit]


def test_an_empty_group_has_no_nodes():
    assert Rendezvous().best(b"x", 3) == [] and Rendezvous().weight() == 0


@pytest.mark.parametrize("weights", [lambda rng: 1.0, lambda rng: rng.choice([1, 2, 8])])
def test_insertions_and_removals_leave_the_group_as_if_newly_built(weights):
    nodes, rng = group(120, weights), random.Random(3)
    hashing, expected = rendezvous(nodes[:60]), list(nodes[:60])
    for node in nodes[60:]:
        removed = rng.randrange(len(expected))
        hashing.remove(removed)
        del expected[removed]
        position = rng.randrange(len(expected) + 1)
        hashing.insert(position, node, node.weight)
        expected.insert(position, node)
    assert hashing.nodes == expected and hashing.weight() == sum(member.weight for member in expected)
    assert hashing.best(b"key", 5) == by_sorting(expected, b"key")[:5]


def test_best_of_3200_nodes_needs_under_a_twentieth_of_the_calls_of_sorting():
    """Counts function calls instead of time, so that the result is the same on every machine."""

    def calls(action):
        seen = 0

        def count(frame, event, given):
            nonlocal seen
            seen += event in ("call", "c_call")

        sys.setprofile(count)
        try:
            action()
        finally:
            sys.setprofile(None)
        return seen

    nodes = group(3200, lambda rng: 1.0)
    hashing = rendezvous(nodes)
    hashing.best(b"warm", 8)
    assert calls(lambda: hashing.best(b"key", 8)) < calls(lambda: by_sorting(nodes, b"key")) / 20
