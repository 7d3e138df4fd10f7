"""Runs one measurement; its last line is one JSON object of its figures."""

import importlib
import json
import sys

import click

NAMES = ("http2", "front", "serverfiles", "replication", "rollout", "views", "shares", "scale")


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option("--against", default="db87e09", show_default=True, help="The revision that `front` is paired with.")
@click.option("--quick", is_flag=True, help="Fewer GETs: tells the order of a figure, not its second digit.")
def main(name, quick, against):
    more = {"against": against} if name == "front" else {}
    figures = importlib.import_module(f"benchmarks.{name}").measure(quick, **more)
    print(json.dumps(figures))


if __name__ == "__main__":
    sys.exit(main())
