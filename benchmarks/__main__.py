"""Runs one measurement; its last line is one JSON object of its figures. Exit status 1 where a promise broke."""

import importlib
import json
import sys

import click

NAMES = (
    "http2",
    "front",
    "serverfiles",
    "replication",
    "rollout",
    "grants",
    "views",
    "shares",
    "scale",
    "soak",
    "same",
)


# Figures that count broken promises: each is to be 0.
BROKEN = frozenset(
    {
        "over_budget",
        "committed_lost",
        "two_leaders",
        "votes_twice",
        "sent_to_drained",
        "granted_halted",
        "without_end",
        "last_gone",
        "gets_lost",
        "late_sends_to_drained",
        "guard_facts_lost",
        "promises_broken",
        "places_over",
        "late_sheds",
        "orders_twice",
        "wrong_standing",
        "healthy_called_gone",
        "false_halts",
        "violations",
        "apart",
        "turns_too_long",
    }
)


def broken(figures):
    """{name: count} of the promises that broke by these figures."""
    return {name: count for name, count in figures.items() if name in BROKEN and count}


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option(
    "--against",
    default="db87e09",
    show_default=True,
    help="The revision that `front` is paired with.",
)
@click.option("--quick", is_flag=True, help="Fewer GETs: tells the order of a figure, not its second digit.")
@click.option("--record", is_flag=True, help="Add the digests that the file of `same` lacks; others stay.")
@click.option(
    "--smoke",
    is_flag=True,
    hidden=True,
    help="Every step on a tiny input: shows that it runs, measures nothing.",
)
@click.option("--seed", default=1, show_default=True, help="Of a soak's schedule.")
@click.option("--seconds", default=120, show_default=True, help="Of a soak.")
@click.option("--fronts", default=24, show_default=True, help="Of a soak.")
@click.option("--shrink", is_flag=True, help="Play a soak that failed again until each trouble is needed.")
@click.option("--replay", type=click.Path(exists=True), help="A soak's schedule that was kept.")
@click.option("--keep", type=click.Path(), help="A folder for what a soak that failed leaves.")
def main(name, quick, smoke, against, record, **soak):
    more = {"front": {"against": against}, "same": {"record_missing": record}, "soak": soak}.get(name, {})
    if smoke:
        more = {**more, "smoke": True}
    figures = importlib.import_module(f"benchmarks.{name}").measure(quick, **more)
    print(json.dumps(figures))
    if found := broken(figures):
        print(f"broken: {found}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    sys.exit(main())
