"""Trace of one GET from the logs of fronts, written with `log { gets #true }` in the operator's file."""

import sys

import click
import orjson

EVENTS = ("get", "invariant_broken")


def records_of_call(lines, call_id):
    """Return the log records of one ID in order of time; lines that are no log records are skipped."""
    found = []
    for line in lines:
        try:
            record = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue
        if isinstance(record, dict) and record.get("event") in EVENTS and record.get("id") == call_id:
            found.append(record)
    return sorted(found, key=lambda record: record.get("at", 0))


@click.command()
@click.argument("call_id", metavar="ID")
@click.argument("logs", type=click.File("rb"), nargs=-1)
def story(call_id, logs):
    """Print the steps of the GET with X-Call-Id ID from the LOGS of fronts (default: standard input)."""
    found = records_of_call((line for log in logs or [sys.stdin.buffer] for line in log), call_id)
    for record in found:
        broken = f", broken: {record['rule']}" if "rule" in record else ""
        click.echo(
            f"{record.get('front')}: {record['event']} {record.get('ds', '')} "
            f"{record.get('object', '')}{broken}"
        )
        for step in record.get("story", ()):
            at, _, what = str(step).partition(" ")
            click.echo(f"  {at:>8} ms  {what}")
    if not found:
        click.echo(f"{call_id}: no log records found", err=True)
        sys.exit(1)
