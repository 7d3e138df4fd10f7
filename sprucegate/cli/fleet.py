"""`sprucegate fleet`: a running front's view of the fleet, and the facts replicated among the fronts."""

import socket
import sys

import click
import orjson
from rich.console import Console
from rich.table import Table

from sprucegate.cli import operator_file
from sprucegate.storage import records

JSON_OUTPUT = click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
OPERATOR_FILE = click.option(
    "--file",
    "path",
    type=click.Path(dir_okay=False),
    default="deploy/sprucegate.kdl",
    show_default=True,
    help="The operator's file of a front.",
)
FRONT_ADDRESS = click.option(
    "--at", "address", help="Query the front that listens for other fronts at HOST:PORT."
)
TIMEOUT_S = 3.0


def _fail(text, as_json, status):
    if as_json:
        click.echo(orjson.dumps({"ok": False, "error": text}).decode())
    else:
        click.echo(f"sprucegate: {text}", err=True)
    sys.exit(status)


def _fleet_node(path, as_json):
    try:
        node = operator_file.read(path).fleet
    except operator_file.OperatorFileError as error:
        _fail(str(error), as_json, 2)
    if node is None:
        _fail(f"{path}: fleet: is missing, so this front belongs to no fleet", as_json, 2)
    return node


def _query(node, address, question, arguments, as_json, allow_refusal=False, quiet=False):
    """Send a query to a front and return its answer.

    Without an answer the process exits with 1, or None is returned if `quiet`. A refusal ends it too, unless
    `allow_refusal`.
    """
    from sprucegate.fleet.links import codec

    host, _, port = (address or node.listen).rpartition(":")
    if not host or not port.isdigit():
        _fail(f"--at: must be HOST:PORT, not {address!r}", as_json, 2)
    greeting = codec.encode_greeting(codec.Greeting(codec.VERSION, node.name, "operator", "", "", 0))
    query = codec.encode_question(codec.Question(question, list(arguments)))
    data = b""
    try:
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            sock.sendall(greeting + query)
            while piece := sock.recv(1 << 16):
                data += piece
        length, _ = records.HEADER.unpack_from(data)
        answer = orjson.loads(data[records.HEADER.size + length :])
    except (OSError, ValueError, records.struct.error) as exc:
        if quiet:
            return None
        _fail(f"{host}:{port}: no answer ({type(exc).__name__}: {exc})", as_json, 1)
    if not answer.get("ok") and not allow_refusal:
        _fail(answer.get("error", "refused"), as_json, 1)
    return answer


def _print_answer(answer, as_json, table):
    if as_json:
        click.echo(orjson.dumps(answer).decode())
    else:
        Console(width=None if sys.stdout.isatty() else 160).print(table)


@click.group()
def fleet():
    """Query a running front about the fleet."""


@fleet.command()
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def status(path, address, as_json):
    """Show each member's standing, who reported it, and the number of this front's facts that it lacks."""
    answer = _query(_fleet_node(path, as_json), address, "status", (), as_json)
    facts = ", ".join(f"{count} {kind}" for kind, count in sorted(answer["facts"].items())) or "no facts"
    table = Table(
        "front",
        "address",
        "standing",
        "by",
        "life",
        "lacks",
        title=f"{answer['front']} of {answer['fleet']}: {answer['phase']}, {facts}"
        + ("" if answer["kept"] else "; STATE NOT PERSISTED: DISK FAULT"),
    )
    for member in answer["members"]:
        lag = "" if member["lag"] is None else str(member["lag"])
        table.add_row(
            member["name"], member["address"], member["standing"], member["by"], member["life"], lag
        )
    _print_answer(answer, as_json, table)


def _facts_table(facts):
    table = Table("kind", "key", "holds", "by", "life", "counter")
    for fact in facts:
        table.add_row(
            fact["kind"],
            " ".join(map(str, fact["key"])),
            str(fact.get("state", fact.get("value"))),
            fact["by"],
            fact["life"],
            str(fact["counter"]),
        )
    return table


def _table(rows, title):
    """Return a table of rows that all have the same keys; the keys are the columns."""
    table = Table(*(rows[0] if rows else ()), title=title)
    for row in rows:
        table.add_row(*map(str, row.values()))
    return table


@fleet.command()
@click.argument("kind", required=False, type=click.Choice(["purge", "word", "held"]))
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def facts(kind, path, address, as_json):
    """Show at most 1000 guard facts that a front holds, and which front reported each."""
    answer = _query(_fleet_node(path, as_json), address, "facts", [kind] if kind else [], as_json)
    _print_answer(answer, as_json, _facts_table(answer["facts"]))


@fleet.command()
@click.argument("words", nargs=-1, required=True)
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def why(words, path, address, as_json):
    """Show facts whose key contains all WORDS, such as `why purge 1234` or `why word 11 bus`.

    `why view [FRONT]` shows the standing of fronts, `why share [TENANT]` the queues for slow-fill slots.
    """
    answer = _query(_fleet_node(path, as_json), address, "why", words, as_json)
    if words[0] == "view":
        view = answer["view"]
        source = f"by entry {view['agreed']} of the log" if view["agreed"] else "local"
        title = (
            f"{answer['front']}: view {view['number']}, {view['state']}, "
            f"{view['share']:.0%} of the fleet, {source}"
        )
        return _print_answer(answer, as_json, _table(answer["facts"], title))
    if words[0] == "share" and answer["facts"]:
        return _print_answer(
            answer, as_json, _table(answer["facts"], f"{answer['front']}: slots for slow fills")
        )
    if not answer["facts"]:
        _fail(f"{answer['front']} holds no fact whose key contains {' '.join(words)}", as_json, 1)
    _print_answer(answer, as_json, _facts_table(answer["facts"]))


@fleet.command()
@click.argument("one")
@click.argument("other")
@OPERATOR_FILE
@JSON_OUTPUT
def diff(one, other, path, as_json):
    """Show the facts that differ between the fronts at ONE and OTHER (HOST:PORT); exit 1 if they differ."""
    node = _fleet_node(path, as_json)
    a, b = (_query(node, at, "facts", (), as_json) for at in (one, other))
    ours, theirs = (
        {(f["kind"], *f["key"]): f.get("state", f.get("value")) for f in answer["facts"]} for answer in (a, b)
    )
    rows = [
        (" ".join(map(str, key)), str(ours.get(key)), str(theirs.get(key)))
        for key in sorted(ours.keys() | theirs.keys(), key=str)
        if ours.get(key) != theirs.get(key)
    ]
    table = Table(
        "key",
        a["front"],
        b["front"],
        title="no facts differ" if a["root"] == b["root"] else "some facts differ",
    )
    for row in rows:
        table.add_row(*row)
    _print_answer({"ok": True, "same": a["root"] == b["root"], "rows": rows}, as_json, table)
    sys.exit(a["root"] != b["root"])
