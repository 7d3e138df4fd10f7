"""A measurement that counts a broken promise does not pass."""

from types import SimpleNamespace

import pytest
from click.testing import CliRunner

from benchmarks import __main__ as benchmarks


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


def test_walks_are_alike_by_seed_and_tell_a_changed_decision(monkeypatch):
    from benchmarks.same import Walk
    from sprucegate.routing import router

    first = Walk(1).run(400)
    assert Walk(1).run(400) == first != Walk(2).run(400)
    monkeypatch.setattr(router, "RETRY_SHARE", 0.1)
    assert Walk(1).run(400) != first
