"""`sprucegate fleet`: what a running front knows of the others, and what they hold in common."""

import socket
import sys

import click
import orjson
from rich.console import Console
from rich.table import Table

from sprucegate.cli import operator_file
from sprucegate.storage import records

JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
OPERATOR = click.option(
    "--file",
    "path",
    type=click.Path(dir_okay=False),
    default="deploy/sprucegate.kdl",
    show_default=True,
    help="The operator's file of a front.",
)
AT = click.option("--at", "address", help="Ask the front that listens for others here, HOST:PORT.")
PATIENCE = 3.0  # seconds


def _fail(text, as_json, status):
    if as_json:
        click.echo(orjson.dumps({"ok": False, "error": text}).decode())
    else:
        click.echo(f"sprucegate: {text}", err=True)
    sys.exit(status)


def _node(path, as_json):
    try:
        node = operator_file.read(path).fleet
    except operator_file.OperatorFileError as fault:
        _fail(str(fault), as_json, 2)
    if node is None:
        _fail(f"{path}: fleet: is not there, so this front is alone", as_json, 2)
    return node


def _ask(node, address, what, given, as_json, whole=False, quiet=False):
    """The front's answer; a front that can't be asked is exit 1, or None with `quiet`; `whole`: a refusal as well."""
    from sprucegate.fleet.links import codec

    host, _, port = (address or node.listen).rpartition(":")
    if not host or not port.isdigit():
        _fail(f"--at: must be HOST:PORT, not {address!r}", as_json, 2)
    said = codec.encode_greeting(codec.Greeting(codec.VERSION, node.name, "operator", "", "", 0))
    asked = codec.encode_question(codec.Question(what, list(given)))
    data = b""
    try:
        with socket.create_connection((host, int(port)), PATIENCE) as sock:
            sock.sendall(said + asked)
            while piece := sock.recv(1 << 16):
                data += piece
        length, _ = records.HEAD.unpack_from(data)
        answer = orjson.loads(data[records.HEAD.size + length :])
    except (OSError, ValueError, records.struct.error) as fault:
        if quiet:
            return None
        _fail(f"{host}:{port}: no answer ({type(fault).__name__}: {fault})", as_json, 1)
    if not answer.get("ok") and not whole:
        _fail(answer.get("error", "refused"), as_json, 1)
    return answer


def _shown(answer, as_json, table):
    if as_json:
        click.echo(orjson.dumps(answer).decode())
    else:
        Console(width=None if sys.stdout.isatty() else 160).print(table)


@click.group()
def fleet():
    """What a running front knows of the other fronts."""


@fleet.command()
@OPERATOR
@AT
@JSON
def status(path, address, as_json):
    """Members, how each stands and by whose word, and what each is known to lack of this front's facts."""
    said = _ask(_node(path, as_json), address, "status", (), as_json)
    facts = ", ".join(f"{count} {kind}" for kind, count in sorted(said["facts"].items())) or "no facts"
    table = Table(
        "front",
        "address",
        "standing",
        "by",
        "life",
        "lacks",
        title=f"{said['front']} of {said['fleet']}: {said['phase']}, {facts}"
        + ("" if said["kept"] else "; ITS DISK FAILS"),
    )
    for one in said["members"]:
        lag = "" if one["lag"] is None else str(one["lag"])
        table.add_row(one["name"], one["address"], one["standing"], one["by"], one["life"], lag)
    _shown(said, as_json, table)


def _rows(facts):
    table = Table("kind", "key", "holds", "by", "life", "counter")
    for one in facts:
        table.add_row(
            one["kind"],
            " ".join(map(str, one["key"])),
            str(one.get("state", one.get("value"))),
            one["by"],
            one["life"],
            str(one["counter"]),
        )
    return table


def _listing(rows, title):
    """Rows that all have the same keys, which are the columns."""
    table = Table(*(rows[0] if rows else ()), title=title)
    for row in rows:
        table.add_row(*map(str, row.values()))
    return table


@fleet.command()
@click.argument("kind", required=False, type=click.Choice(["purge", "word", "held"]))
@OPERATOR
@AT
@JSON
def facts(kind, path, address, as_json):
    """The guard facts that a front holds, a thousand at most, and by whose word."""
    said = _ask(_node(path, as_json), address, "facts", [kind] if kind else [], as_json)
    _shown(said, as_json, _rows(said["facts"]))


@fleet.command()
@click.argument("words", nargs=-1, required=True)
@OPERATOR
@AT
@JSON
def why(words, path, address, as_json):
    """Facts whose key has all of WORDS: `why purge 1234`, `why word 11 bus`; `why view [FRONT]`: how fronts stand;
    `why share [TENANT]`: places, and who waits for them."""
    said = _ask(_node(path, as_json), address, "why", words, as_json)
    if words[0] == "view":
        view = said["view"]
        whose = f"by entry {view['agreed']} of the log" if view["agreed"] else "local"
        title = f"{said['front']}: view {view['number']}, {view['state']}, {view['share']:.0%} of the fleet, {whose}"
        return _shown(said, as_json, _listing(said["facts"], title))
    if words[0] == "share" and said["facts"]:
        return _shown(said, as_json, _listing(said["facts"], f"{said['front']}: places for slow fills"))
    if not said["facts"]:
        _fail(f"{said['front']} holds no fact of {' '.join(words)}", as_json, 1)
    _shown(said, as_json, _rows(said["facts"]))


@fleet.command()
@click.argument("one")
@click.argument("other")
@OPERATOR
@JSON
def diff(one, other, path, as_json):
    """What the fronts at ONE and OTHER (HOST:PORT) hold otherwise; exit 1 where they differ."""
    node = _node(path, as_json)
    a, b = (_ask(node, at, "facts", (), as_json) for at in (one, other))
    ours, theirs = (
        {(f["kind"], *f["key"]): f.get("state", f.get("value")) for f in said["facts"]} for said in (a, b)
    )
    rows = [
        (" ".join(map(str, key)), str(ours.get(key)), str(theirs.get(key)))
        for key in sorted(ours.keys() | theirs.keys(), key=str)
        if ours.get(key) != theirs.get(key)
    ]
    table = Table(
        "key", a["front"], b["front"], title="the same" if a["root"] == b["root"] else "they differ"
    )
    for row in rows:
        table.add_row(*row)
    _shown({"ok": True, "same": a["root"] == b["root"], "rows": rows}, as_json, table)
    sys.exit(a["root"] != b["root"])
