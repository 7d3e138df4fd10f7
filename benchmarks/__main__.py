"""Runs one measurement; its last line is one JSON object of its figures."""

import importlib
import json
import sys

import click

NAMES = ("http2", "front")


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option("--quick", is_flag=True, help="Fewer GETs: tells the order of a figure, not its second digit.")
def main(name, quick):
    figures = importlib.import_module(f"benchmarks.{name}").measure(quick)
    print(json.dumps(figures))


if __name__ == "__main__":
    sys.exit(main())
