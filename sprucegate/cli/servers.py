"""`sprucegate servers`: validate and compare server lists, show the current list, confirm a held one."""

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

JSON_OUTPUT = click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
CONFIG_OPTION = click.option(
    "--config",
    envvar="BALANCER_CONFIG",
    type=click.Path(dir_okay=False),
    help="The front's configuration, which defines locations and kinds; without it any name is valid.",
)
OPERATOR_FILE = click.option(
    "--file",
    "path",
    type=click.Path(dir_okay=False),
    default="deploy/sprucegate.kdl",
    show_default=True,
    help="The operator's file.",
)


class _AnyName(dict):
    """Accepts every name and numbers names in order of first use; used without a configuration."""

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


def _known_names(config):
    if not config:
        return _AnyName(), _AnyName()
    from sprucegate.front import configuration

    try:
        front_configuration = configuration.read({"BALANCER_CONFIG": config})
    except configuration.FrontConfigurationError as error:
        _fail(str(error), False)
    return front_configuration.locations, front_configuration.kinds


def _parse_list(path, names, as_json):
    try:
        return list_format.parse(list_reader.read(path).texts, *names)
    except list_reader.FileIncompleteError as error:
        _fail(str(error), as_json)
    except source_locations.OperatorFileError as error:
        _fail(str(error), as_json, file=error.file, line=error.line, key=error.key)


def _standing(server):
    return (
        "held" if server.held else "draining" if server.entry.state is EndpointState.DRAINING else "serving"
    )


def _print_table(table):
    # rich truncates to 80 columns when the output is a pipe.
    Console(width=None if sys.stdout.isatty() else 200).print(table)


@click.group()
def servers():
    """Validate, compare, show and confirm server lists."""


@servers.command()
@click.argument("path", metavar="LIST")
@CONFIG_OPTION
@JSON_OUTPUT
def check(path, config, as_json):
    """Validate LIST, a file or a directory of list parts."""
    entries = _parse_list(path, _known_names(config), as_json)
    counts = {state: sum(_standing(s) == state for s in entries) for state in ("serving", "draining", "held")}
    if as_json:
        click.echo(orjson.dumps({"ok": True, "file": path, "entries": len(entries), **counts}).decode())
    else:
        click.echo(
            f"{path}: valid, {len(entries)} servers: " + ", ".join(f"{n} {s}" for s, n in counts.items())
        )


@servers.command()
@click.argument("before", metavar="A")
@click.argument("after", metavar="B")
@CONFIG_OPTION
@JSON_OUTPUT
def diff(before, after, config, as_json):
    """Show the changes from list A to list B, and the share of objects that moves to each server."""
    names = _known_names(config)
    old, new = _parse_list(before, names, as_json), _parse_list(after, names, as_json)
    was, now = {s.name: s for s in old}, {s.name: s for s in new}
    changes = [(name, "removed", "") for name in was if name not in now]
    changes += [(name, "added", _standing(s)) for name, s in now.items() if name not in was]
    for name in was.keys() & now.keys():
        a, b = was[name], now[name]
        changes += [
            (name, what, f"{x} to {y}")
            for what, x, y in (
                ("state", _standing(a), _standing(b)),
                ("weight", a.entry.weight, b.entry.weight),
                ("address", a.address, b.address),
                ("start", a.entry.started, b.entry.started),
            )
            if x != y
        ]
    changes.sort()
    moved = moves.moves(old, new)
    gained, objects = {}, 0
    for move in moved.values():
        objects += move.objects if move.moved else 0  # only of locations and kinds in which objects move
        for server, count in move.gained.items():
            gained[server] = gained.get(server, 0) + count
    name_by_id = {s.entry.id: s.name for s in new}
    shares = (
        {name_by_id[server]: round(count / objects, 4) for server, count in sorted(gained.items())}
        if objects
        else {}
    )
    total = round(sum(gained.values()) / objects, 4) if objects else 0.0
    if as_json:
        click.echo(
            orjson.dumps({"ok": True, "changes": changes, "moved_share": total, "moved_to": shares}).decode()
        )
        return
    table = Table("server", "change", "from and to", title=f"{before} to {after}")
    for row in changes[:200]:
        table.add_row(*row)
    _print_table(table)
    if len(changes) > 200:
        click.echo(f"and {len(changes) - 200} more")
    click.echo(f"{total:.2%} of the objects of the affected locations and kinds move")
    for name, share in shares.items():
        click.echo(f"  {share:.2%} to {name}")


def _membership_node(path, as_json):
    try:
        node = operator_file.read(path).membership
    except operator_file.OperatorFileError as error:
        _fail(str(error), as_json, file=error.file, line=error.line, key=error.key)
    if node is None or not node.state:
        _fail(f"{path}: membership.state: is not set, so the front stores no snapshots", as_json)
    return node


@servers.command()
@OPERATOR_FILE
@JSON_OUTPUT
def show(path, as_json):
    """Show the front's server list as of its last snapshot."""
    node = _membership_node(path, as_json)
    now = clock.unix()
    snapshot, rejected = SnapshotStore(Disk(), node.state, "servers").newest(now, 1 << 62)
    if snapshot is None:
        _fail(
            f"{node.state}: holds no readable snapshot" + "".join(f"; {r.name} {r.why}" for r in rejected),
            as_json,
            1,
        )
    contents = orjson.loads(snapshot.payload)
    age = (now - snapshot.at) // 1_000_000_000
    lines = [
        (name, address, standing, why, f"{(now - since) // 1_000_000_000} s", f"{weight:g}")
        for part in contents["rows"]
        for name, address, standing, why, since, weight in part
    ]
    columns = ("server", "address", "state", "why", "for", "weight")
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "ok": True,
                    "generation": snapshot.generation,
                    "age_s": age,
                    "servers": [dict(zip(columns, line, strict=True)) for line in lines],
                }
            ).decode()
        )
        return
    table = Table(*columns, title=f"generation {snapshot.generation}, {age} s old")
    for line in lines:
        table.add_row(*line)
    _print_table(table)


@servers.command()
@click.argument("number", type=click.IntRange(1))
@OPERATOR_FILE
def confirm(number, path):
    """Confirm the held list NUMBER, as given in the log event `servers_held`, so that it is applied."""
    node = _membership_node(path, False)
    try:
        os.makedirs(node.state, exist_ok=True)
        replace_file(Disk(), node.state, "confirm", str(number).encode())
    except OSError as error:
        _fail(f"{node.state}: {error}", False, 1)
    click.echo(f"confirmed {number}; the front logs servers_confirmed once it has applied it")
