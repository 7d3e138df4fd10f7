"""The first nodes of a large group are those of scoring and sorting all of them."""

import random
import sys
from types import SimpleNamespace

import pytest

from sprucegate.routing.hashing import hash32
from sprucegate.routing.rendezvous import Rendezvous, label_of, lane_of, score


def group(count, weights, seed=1):
    chance = random.Random(seed)
    return [
        SimpleNamespace(id=at, label=label_of(at), lane=lane_of(label_of(at)), weight=weights(chance))
        for at in chance.sample(range(1 << 60), count)
    ]


def rendezvous(nodes):
    made = Rendezvous()
    for at, one in enumerate(nodes):
        made.insert(at, one, one.weight)
    return made


def by_sorting(nodes, key):
    start = hash32(key)
    return sorted(nodes, key=lambda n: (score(n.weight, hash32(n.label, start)), n.id))


@pytest.mark.parametrize("count", [1, 2, 31, 33, 200, 3200])
@pytest.mark.parametrize(
    "weights",
    [lambda chance: 1.0, lambda chance: chance.choice([1, 2, 8]), lambda chance: chance.uniform(0.01, 100)],
    ids=["alike", "three", "any"],
)
@pytest.mark.parametrize("most", [1, 8, 64])
def test_the_first_ones_are_those_of_all_of_them_sorted(count, weights, most):
    nodes = group(count, weights)
    made = rendezvous(nodes)
    for at in range(8):
        key = at.to_bytes(12, "big")
        assert made.best(key, most) == by_sorting(nodes, key)[:most]


def test_an_empty_group_has_none():
    assert Rendezvous().best(b"x", 3) == [] and Rendezvous().weight() == 0


@pytest.mark.parametrize("weights", [lambda chance: 1.0, lambda chance: chance.choice([1, 2, 8])])
def test_nodes_that_come_and_go_leave_the_group_as_if_made_anew(weights):
    nodes, chance = group(120, weights), random.Random(3)
    made, stand = rendezvous(nodes[:60]), list(nodes[:60])
    for one in nodes[60:]:
        gone = chance.randrange(len(stand))
        made.remove(gone)
        del stand[gone]
        at = chance.randrange(len(stand) + 1)
        made.insert(at, one, one.weight)
        stand.insert(at, one)
    assert made.nodes == stand and made.weight() == sum(n.weight for n in stand)
    assert made.best(b"key", 5) == by_sorting(stand, b"key")[:5]


def test_three_thousand_nodes_take_less_than_half_of_sorting_them():
    """Counted in calls of the interpreter, not in time: alike on every machine."""

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

    nodes = group(3200, lambda chance: 1.0)
    made = rendezvous(nodes)
    made.best(b"warm", 8)
    assert calls(lambda: made.best(b"key", 8)) < calls(lambda: by_sorting(nodes, b"key")) / 20
