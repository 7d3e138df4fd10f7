"""`sprucegate servers`: lists checked and compared before use, the running view, and a held list confirmed."""

import os
import sys

import click
import orjson
from rich.console import Console
from rich.table import Table

from sprucegate import clock
from sprucegate.cli import operator_file
from sprucegate.config import source_locations
from sprucegate.discovery import list_format, list_reader, moves
from sprucegate.routing.events import EndpointState
from sprucegate.storage.disk import Disk, replace_file
from sprucegate.storage.snapshots import SnapshotStore

JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
CONFIG = click.option(
    "--config",
    envvar="BALANCER_CONFIG",
    type=click.Path(dir_okay=False),
    help="The front's configuration, for its locations and kinds; without it any name will do.",
)
OPERATOR = click.option(
    "--file",
    "path",
    type=click.Path(dir_okay=False),
    default="deploy/sprucegate.kdl",
    show_default=True,
    help="The operator's file.",
)


class _AnyName(dict):
    """Names numbered as they come, where no configuration says which there are."""

    def __contains__(self, name):
        return True

    def __missing__(self, name):
        self[name] = len(self)
        return self[name]


def _fail(text, as_json, status=2, **more):
    if as_json:
        click.echo(orjson.dumps({"ok": False, "error": text, **more}).decode())
    else:
        click.echo(f"sprucegate: {text}", err=True)
    sys.exit(status)


def _names(config):
    if not config:
        return _AnyName(), _AnyName()
    from sprucegate.front import configuration

    try:
        wanted = configuration.read({"BALANCER_CONFIG": config})
    except configuration.FrontConfigurationError as fault:
        _fail(str(fault), False)
    return wanted.locations, wanted.kinds


def _list(path, names, as_json):
    try:
        return list_format.parse(list_reader.read(path).texts, *names)
    except list_reader.FileIncompleteError as fault:
        _fail(str(fault), as_json)
    except source_locations.OperatorFileError as fault:
        _fail(str(fault), as_json, file=fault.file, line=fault.line, key=fault.key)


def _state(server):
    return (
        "held" if server.held else "draining" if server.entry.state is EndpointState.DRAINING else "serving"
    )


def _print(table):
    # A pipe gets whole lines: rich would cut them to 80 columns there.
    Console(width=None if sys.stdout.isatty() else 200).print(table)


@click.group()
def servers():
    """Lists of servers: check, compare, show, confirm."""


@servers.command()
@click.argument("path", metavar="LIST")
@CONFIG
@JSON
def check(path, config, as_json):
    """Say whether LIST, a file or a folder of parts, can be taken."""
    found = _list(path, _names(config), as_json)
    counts = {state: sum(_state(s) == state for s in found) for state in ("serving", "draining", "held")}
    if as_json:
        click.echo(orjson.dumps({"ok": True, "file": path, "entries": len(found), **counts}).decode())
    else:
        click.echo(f"{path}: good, {len(found)} servers: " + ", ".join(f"{n} {s}" for s, n in counts.items()))


@servers.command()
@click.argument("before", metavar="A")
@click.argument("after", metavar="B")
@CONFIG
@JSON
def diff(before, after, config, as_json):
    """Say what changes from list A to list B, and which share of the objects moves to which server."""
    names = _names(config)
    old, new = _list(before, names, as_json), _list(after, names, as_json)
    was, now = {s.name: s for s in old}, {s.name: s for s in new}
    changes = [(name, "removed", "") for name in was if name not in now]
    changes += [(name, "added", _state(s)) for name, s in now.items() if name not in was]
    for name in was.keys() & now.keys():
        a, b = was[name], now[name]
        changes += [
            (name, what, f"{x} to {y}")
            for what, x, y in (
                ("state", _state(a), _state(b)),
                ("weight", a.entry.weight, b.entry.weight),
                ("address", a.address, b.address),
                ("start", a.entry.started, b.entry.started),
            )
            if x != y
        ]
    changes.sort()
    moved = moves.moves(old, new)
    gained, objects = {}, 0
    for one in moved.values():
        objects += one.objects if one.moved else 0  # of the locations and kinds that are touched at all
        for at, count in one.gained.items():
            gained[at] = gained.get(at, 0) + count
    named = {s.entry.id: s.name for s in new}
    shares = {named[at]: round(count / objects, 4) for at, count in sorted(gained.items())} if objects else {}
    total = round(sum(gained.values()) / objects, 4) if objects else 0.0
    if as_json:
        click.echo(
            orjson.dumps({"ok": True, "changes": changes, "moved_share": total, "moved_to": shares}).decode()
        )
        return
    table = Table("server", "change", "from and to", title=f"{before} to {after}")
    for row in changes[:200]:
        table.add_row(*row)
    _print(table)
    if len(changes) > 200:
        click.echo(f"and {len(changes) - 200} more")
    click.echo(f"{total:.2%} of the objects of the locations and kinds concerned move")
    for name, share in shares.items():
        click.echo(f"  {share:.2%} to {name}")


def _membership(path, as_json):
    try:
        node = operator_file.read(path).membership
    except operator_file.OperatorFileError as fault:
        _fail(str(fault), as_json, file=fault.file, line=fault.line, key=fault.key)
    if node is None or not node.state:
        _fail(f"{path}: membership.state: is not set, so nothing is kept of the running front", as_json)
    return node


@servers.command()
@OPERATOR
@JSON
def show(path, as_json):
    """Show the front's view as its last snapshot has it."""
    node = _membership(path, as_json)
    now = clock.unix()
    taken, refused = SnapshotStore(Disk(), node.state, "servers").newest(now, 1 << 62)
    if taken is None:
        _fail(
            f"{node.state}: holds no readable snapshot" + "".join(f"; {r.name} {r.why}" for r in refused),
            as_json,
            1,
        )
    kept = orjson.loads(taken.payload)
    age = (now - taken.at) // 1_000_000_000
    lines = [
        (name, address, standing, why, f"{(now - since) // 1_000_000_000} s", f"{weight:g}")
        for piece in kept["rows"]
        for name, address, standing, why, since, weight in piece
    ]
    columns = ("server", "address", "state", "why", "for", "weight")
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "ok": True,
                    "generation": taken.generation,
                    "age_s": age,
                    "servers": [dict(zip(columns, line, strict=True)) for line in lines],
                }
            ).decode()
        )
        return
    table = Table(*columns, title=f"generation {taken.generation}, {age} s old")
    for line in lines:
        table.add_row(*line)
    _print(table)


@servers.command()
@click.argument("number", type=click.IntRange(1))
@OPERATOR
def confirm(number, path):
    """Let the held list NUMBER (as `servers_held` names it) be applied."""
    node = _membership(path, False)
    try:
        os.makedirs(node.state, exist_ok=True)
        replace_file(Disk(), node.state, "confirm", str(number).encode())
    except OSError as fault:
        _fail(f"{node.state}: {fault}", False, 1)
    click.echo(f"confirmed {number}; the front logs servers_confirmed once it has applied it")
