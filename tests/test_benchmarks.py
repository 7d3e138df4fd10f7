"""A measurement that counts a broken promise does not pass."""

import dataclasses
import enum
import importlib
import json
from types import SimpleNamespace
from typing import NamedTuple

import msgspec
import pytest
from click.testing import CliRunner

from benchmarks import __main__ as benchmarks
from sprucegate.routing import actions, events


@pytest.mark.parametrize(
    "figures, status",
    [
        ({"over_budget": 0, "cpu_ratio": 1.2}, 0),
        ({"over_budget": 2}, 1),
        ({"gets_lost": 1, "over_budget": 0}, 1),
    ],
)
def test_a_broken_promise_is_the_exit_status(monkeypatch, figures, status):
    monkeypatch.setattr(
        benchmarks.importlib, "import_module", lambda name: SimpleNamespace(measure=lambda quick: figures)
    )
    said = CliRunner().invoke(benchmarks.main, ["rollout"])
    assert said.exit_code == status and ("broken" in said.output) is bool(status)


def walked(seed, variant="usual", steps=400):
    from benchmarks.walks import Walk

    return Walk(variant, seed).run(steps)


def test_walks_are_alike_by_seed_and_tell_a_changed_decision(monkeypatch):
    from sprucegate.routing import retry

    first = walked(1)
    assert walked(1) == first != walked(2)
    monkeypatch.setattr(retry, "RETRY_BUDGET_RATIO", 0.1)
    assert walked(1) != first


def test_each_settings_variant_walks_another_way():
    from benchmarks.walks import VARIANTS

    assert len({walked(1, variant, 200) for variant in VARIANTS}) == len(VARIANTS)


def test_a_walk_meets_every_action_of_the_rules(monkeypatch):
    from benchmarks import canonical, walks

    met = set()
    kind = canonical.Vocabulary.kind
    monkeypatch.setattr(canonical.Vocabulary, "kind", lambda self, cls: met.add(cls) or kind(self, cls))
    for variant in walks.VARIANTS:
        walked(0, variant, 1000)
    wanted = (
        actions.SendAttempt,
        actions.AwaitSlot,
        actions.RejectRequest,
        actions.FailRequest,
        actions.CancelAttempt,
        actions.SubscribeToEndpoints,
        events.BeliefGossip,
        events.EjectionGossip,
    )
    assert met == set(wanted)


@pytest.mark.parametrize(
    "schedule, module, constant, value",
    [
        ("schedules", "replica.replica", "DIGEST_PERIOD", 300_000_000),
        ("keepers", "consensus.replication", "ENTRIES_PER_MESSAGE", 3),
        ("rollouts", "rollout.follower", "RETRY_INTERVAL", 1_500_000_000),
        ("sharing", "quotas.fair_queue", "INITIAL_FILL_SAMPLES", 9),
    ],
)
def test_traces_are_alike_by_seed_and_tell_a_changed_decision(monkeypatch, schedule, module, constant, value):
    from benchmarks.traces import SCHEDULES

    played = SCHEDULES[schedule]
    first = played(1)
    assert played(1) == first != played(2)
    monkeypatch.setattr(importlib.import_module(f"sprucegate.fleet.{module}"), constant, value)
    assert played(1) != first


def test_all_digests_of_the_quick_comparison_are_the_recorded_ones():
    from benchmarks import same

    figures = same.measure(quick=True)
    assert figures["apart"] == 0
    assert figures["digests"] == len(same.cases(same.QUICK)) >= 33


def test_the_full_comparison_is_recorded_whole():
    from benchmarks import same, traces, walks

    kept = same.recorded()
    assert kept["revision"] == "8d2589c"
    assert kept[same.FULL].keys() == same.cases(same.FULL).keys()
    assert len(kept[same.FULL]) >= 8 * len(walks.VARIANTS) + 10 * len(traces.SCHEDULES)


@pytest.fixture
def two_cases(monkeypatch, tmp_path):
    """A file with two recorded cases of one short walk and one trace; returns what reads and writes it."""
    from benchmarks import same, traces

    run = {
        "walk": lambda: walked(1, steps=50),
        "trace": lambda: traces.digest_of([(0, "n0", "start")]),
    }
    monkeypatch.setattr(same, "FILE", tmp_path / "decisions.json")
    monkeypatch.setattr(same, "cases", lambda form: run)
    same.record()
    return same, run


def test_a_changed_digest_in_the_file_is_told(two_cases, capsys):
    same, _ = two_cases
    assert same.measure(quick=True)["apart"] == 0
    kept = same.recorded()
    kept["quick"]["walk"] = "0" * 64
    same.FILE.write_text(json.dumps(kept))
    assert same.measure(quick=True)["apart"] == 1
    assert same.measure(quick=False)["apart"] == 0
    assert "walk: 000000000000 was recorded" in capsys.readouterr().out


def test_a_digest_that_is_missing_on_either_side_is_told(two_cases):
    same, run = two_cases
    kept = same.recorded()
    del kept["quick"]["walk"]
    kept["quick"]["another"] = "0" * 64
    same.FILE.write_text(json.dumps(kept))
    assert same.measure(quick=True)["apart"] == 2


def test_recording_again_adds_what_is_missing_and_changes_nothing(two_cases):
    same, run = two_cases
    kept = same.recorded()
    kept["quick"]["walk"] = "0" * 64
    del kept["full"]["trace"]
    same.FILE.write_text(json.dumps(kept))
    assert same.measure(quick=True, record_missing=True)["added"] == 1
    assert same.recorded()["quick"]["walk"] == "0" * 64
    assert same.recorded()["full"]["trace"] == run["trace"]()


def test_what_the_vocabulary_lacks_counts_as_apart(two_cases, capsys):
    from benchmarks import traces

    same, run = two_cases
    run["trace"] = lambda: traces.digest_of([(0, "n0", "begins-anew")])
    assert same.measure(quick=True)["apart"] == 1
    assert "'begins-anew' has no number" in capsys.readouterr().out
    run["another trace"] = run["trace"]
    with pytest.raises(LookupError):
        same.record()


class Stranger(NamedTuple):
    value: int


@dataclasses.dataclass
class Sheet:
    first: int
    second: str


class Packed(msgspec.Struct):
    first: int
    second: str


class Colour(enum.Enum):
    RED = "red"
    BLUE = "blue"


@pytest.mark.parametrize("value", [Stranger(1), Sheet(1, "n0"), Packed(1, "n0"), object(), "a new word", 1j])
def test_a_kind_or_word_without_a_number_raises(value):
    from benchmarks.canonical import Unknown, canonical
    from benchmarks.vocabulary import VOCABULARY

    for nested in (value, [value], {"n0": value}, (1, {2: (value,)})):
        with pytest.raises(Unknown):
            canonical(nested, VOCABULARY)


def test_an_event_without_a_number_raises():
    from benchmarks.canonical import Unknown, canonical_entry
    from benchmarks.vocabulary import VOCABULARY

    assert canonical_entry((5, "n0", "start", 1), VOCABULARY) == [5, ["name", "n0"], ["word", 19], 1]
    with pytest.raises(Unknown):
        canonical_entry((5, "n0", "cache", 1), VOCABULARY)  # a word, and no event


def test_canonical_form_has_numbers_for_names_and_values_in_field_order():
    from benchmarks.canonical import Vocabulary, canonical

    vocabulary = Vocabulary({Stranger: 1, Sheet: 2, Packed: 3}, {}, {"wave # passed": 4}, r"n\d+")
    cases = [
        (Stranger(7), ["kind", 1, 7]),
        (Sheet(1, "n2"), ["kind", 2, 1, ["name", "n2"]]),
        (Packed(1, "n2"), ["kind", 3, 1, ["name", "n2"]]),
        (Colour.BLUE, 1),
        ("wave 3 passed", ["word", 4, "3"]),
        ({2: True, 1: None}, ["pairs", [2, True], [1, None]]),
        ({3, 1, 2}, ["set", 1, 2, 3]),
        (b"\x01\xff", ["bytes", "01ff"]),
        ([1, (2.5, 3)], ["list", 1, ["list", 2.5, 3]]),
    ]
    for value, form in cases:
        assert canonical(value, vocabulary) == form


def test_each_kind_has_a_number_of_its_own_and_no_number_is_left_out():
    from benchmarks import vocabulary

    assert len(set(vocabulary.KINDS.values())) == len(vocabulary.KINDS)
    for table in (vocabulary.KINDS, vocabulary.EVENTS, vocabulary.WORDS):
        numbers = set(table.values())
        assert numbers == set(range(1, len(numbers) + 1))
