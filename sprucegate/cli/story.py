"""One GET's story out of fronts' logs, as `log { gets #true }` in the operator's file writes them."""

import sys

import click
import orjson

EVENTS = ("get", "invariant_broken")


def stories(lines, call_id):
    """The lines of one id, by time; what is no line of a front's log is passed over."""
    found = []
    for line in lines:
        try:
            said = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue
        if isinstance(said, dict) and said.get("event") in EVENTS and said.get("id") == call_id:
            found.append(said)
    return sorted(found, key=lambda said: said.get("at", 0))


@click.command()
@click.argument("call_id", metavar="ID")
@click.argument("logs", type=click.File("rb"), nargs=-1)
def story(call_id, logs):
    """Print what became of the GET with that X-Call-Id, by LOGS of fronts (standard input without any)."""
    found = stories((line for log in logs or [sys.stdin.buffer] for line in log), call_id)
    for said in found:
        broken = f", broken: {said['rule']}" if "rule" in said else ""
        click.echo(
            f"{said.get('front')}: {said['event']} {said.get('ds', '')} {said.get('object', '')}{broken}"
        )
        for step in said.get("story", ()):
            at, _, what = str(step).partition(" ")
            click.echo(f"  {at:>8} ms  {what}")
    if not found:
        click.echo(f"{call_id}: no line of it", err=True)
        sys.exit(1)
