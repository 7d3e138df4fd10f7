"""`sprucegate fleet keeper|keepers|drain|undrain|give-up|release|watch`: who goes out, asked for and shown."""

import os
import sys
import time
import zlib

import ckdl
import click
import orjson
from rich.console import Group
from rich.live import Live
from rich.table import Table

from sprucegate import clock
from sprucegate.cli import operator_file
from sprucegate.cli.fleet import AT, JSON, OPERATOR, _ask, _fail, _node, _shown

REFUSALS = (
    "no such",
    "not drained",
    "not out",
    "can't",
    "is not",
    "another",
    "a box",
    "asked for already",
    "too many",
)
ID = click.option("--id", "request", help="Of a request that is given again: it has no second effect.")


def _given(request, *words):
    """An id of its own for each call, told, so that the same request can be given again."""
    made = zlib.crc32("\0".join([*words, str(clock.unix()), str(os.getpid())]).encode())
    return request or f"{words[0]}-{made:08x}"


def _say(path, address, as_json, request, command):
    """Proposes an operator's command; exit 1 where it is refused or no majority of the keepers is there."""
    said = _ask(
        _node(path, as_json),
        address,
        "propose",
        [orjson.dumps(["once", request, command]).decode()],
        as_json,
        whole=True,
    )
    if not said.get("ok"):
        text = f"{said.get('error', 'refused')} (request {request})"
        _fail(text, as_json, 1 if "quorum" in said else 2)
    refused = said["word"].startswith(REFUSALS) or said["word"].endswith("is not over")
    if as_json:
        click.echo(orjson.dumps({**said, "ok": not refused, "request": request}).decode())
    else:
        click.echo(f"{said['front']}: {said['word']} (entry {said['index']}, request {request})")
    sys.exit(1 if refused else 0)


def _state(path, address, as_json):
    return _ask(_node(path, as_json), address, "agreed", (), as_json)


def _age(said):
    heard = said["heard_ms"]
    return (
        ""
        if heard is None
        else f", by {said['leader'] or 'no leader'}, heard {heard} ms ago"
        + ("; THE KEEPERS ARE LOST, this is old" if said["fenced"] else "")
    )


def _tables(said):
    title = f"{said['front']}: entry {said['index']}{_age(said)}"
    if said["troubles"]:
        title += "; releases wait: " + ", ".join(f"{k} {v}" for k, v in said["troubles"].items())
    permits = Table("permit", "box", "step", "by", "release", "waits for, or holds it", title=title)
    for one in said["permits"]:
        waits = (
            one["waits"] and f"{one['waits'][0]} {one['waits'][1]} ({one['waits'][2]} of {one['waits'][3]})"
        )
        permits.add_row(
            one["id"],
            one["box"],
            one["step"] + (" OVERDUE" if one["overdue"] else ""),
            one["by"],
            one["release"],
            waits or one["holder"],
        )
    releases = Table("release", "phase", "wave", "released", "of", "why")
    for one in said["releases"]:
        releases.add_row(
            one["name"],
            one["phase"],
            f"{one['wave'] + 1} of {len(one['waves'])}",
            str(len(one["done"])),
            str(sum(map(len, one["waves"]))),
            one["why"],
        )
    out = Table("out", "why")
    for box, why in sorted(said["out"].items()):
        out.add_row(box, why)
    return Group(permits, releases, out)


@click.command()
@click.argument("name")
@OPERATOR
@click.option(
    "--trust-folder", is_flag=True, help="This folder is whole, though too few keepers are there to say so."
)
@click.option(
    "--only-one-left", is_flag=True, help="The other keepers are gone for good: go on without them."
)
def keeper(name, path, trust_folder, only_one_left):
    """Keep the agreed log as NAME of the file's keepers, and do nothing else."""
    import uvloop

    from sprucegate.assembly.keep import keep
    from sprucegate.cli.structured_logging import structured

    try:
        said = operator_file.read(path)
    except operator_file.OperatorFileError as fault:
        _fail(str(fault), False, 2)
    if said.fleet is None or said.agreement is None:
        _fail(f"{path}: agreement: is not there, so there is nothing to keep", False, 2)
    if name not in said.agreement.addresses:
        _fail(f"{path}: agreement.keepers: names no {name}", False, 2)
    sys.exit(
        uvloop.run(
            keep(
                name,
                said.fleet,
                said.agreement,
                said.rollout,
                structured(name),
                trusted=trust_folder,
                only_one_left=only_one_left,
            )
        )
    )


@click.command()
@OPERATOR
@JSON
def keepers(path, as_json):
    """How each keeper that answers stands: its role, its term, who votes."""
    node = _node(path, as_json)
    if (agreement := operator_file.read(path).agreement) is None:
        _fail(f"{path}: agreement: is not there", as_json, 2)
    rows = []
    for name, at in agreement.addresses.items():
        said = _ask(node, at, "agreed", (), as_json, quiet=True)
        rows.append((name, at, (said or {}).get("voting") or {"role": "no answer"}))
    table = Table("keeper", "address", "name", "role", "term", "committed", "voters", "learners")
    for name, at, one in rows:
        table.add_row(
            name,
            at,
            one.get("name", ""),
            one["role"],
            str(one.get("term", "")),
            str(one.get("committed", "")),
            " ".join(one.get("voters", ())),
            " ".join(one.get("learners", ())),
        )
    _shown(
        {"ok": True, "keepers": [{"keeper": n, "address": a, **one} for n, a, one in rows]}, as_json, table
    )
    sys.exit(0 if any(one["role"] == "leader" for *_, one in rows) else 1)


@click.command()
@click.argument("box")
@click.option("--why", default="by hand", show_default=True)
@ID
@OPERATOR
@AT
@JSON
def drain(box, why, request, path, address, as_json):
    """Ask that BOX, a cache or a front, may go out. `fleet watch` shows when it may."""
    request = _given(request, "drain", box)
    _say(path, address, as_json, request, ["ask", request, box, _user(), why])


@click.command()
@click.argument("permit")
@ID
@OPERATOR
@AT
@JSON
def undrain(permit, request, path, address, as_json):
    """Withdraw the request PERMIT, as long as its box is not out."""
    _say(path, address, as_json, _given(request, "undrain", permit), ["withdraw", permit])


@click.command()
@click.argument("permit")
@ID
@OPERATOR
@AT
@JSON
def out(permit, request, path, address, as_json):
    """For box agents: the box of PERMIT is about to be stopped; exit 1 while it is not drained."""
    request = _given(request, "out", permit)
    _say(path, address, as_json, request, ["out", permit, _user()])


@click.command()
@click.argument("permit")
@click.argument("start")
@ID
@OPERATOR
@AT
@JSON
def started(permit, start, request, path, address, as_json):
    """For box agents: the box of PERMIT runs again, as START, a name of this start alone."""
    _say(path, address, as_json, _given(request, "started", permit), ["started", permit, start])


@click.command()
@click.argument("permit")
@ID
@OPERATOR
@AT
@JSON
def renew(permit, request, path, address, as_json):
    """For box agents: whoever replaces the box of PERMIT is still at it; at least every 30 s."""
    _say(path, address, as_json, _given(request, "renew", permit), ["renew", permit, _user()])


@click.command("give-up")
@click.argument("box")
@ID
@OPERATOR
@AT
@JSON
def give_up(box, request, path, address, as_json):
    """BOX will not come back: it counts neither as out nor as there any more."""
    _say(path, address, as_json, _given(request, "give-up", box), ["give-up", box])


@click.command()
@OPERATOR
@AT
@JSON
def watch(path, address, as_json):
    """Permits, releases and boxes that are out: once with --json or into a pipe, else a live view until Ctrl-C."""
    if as_json or not sys.stdout.isatty():
        said = _state(path, address, as_json)
        return _shown(said, as_json, _tables(said))
    with Live(_tables(_state(path, address, False)), refresh_per_second=4) as live:
        while True:
            time.sleep(0.5)
            live.update(_tables(_state(path, address, False)))


@click.group()
def release():
    """Releases: a plan of waves, halt, resume and the way back."""


@release.command()
@click.argument("plan", type=click.Path(dir_okay=False))
@ID
@OPERATOR
@AT
@JSON
def start(plan, request, path, address, as_json):
    """Begin the release that the file PLAN describes."""
    try:
        made = read_plan(plan)
    except operator_file.OperatorFileError as fault:
        _fail(str(fault), as_json, 2)
    _say(path, address, as_json, _given(request, "start", made[0]), ["release", made, _user()])


def _order(name, text):
    @release.command(name, help=text)
    @click.argument("of")
    @click.option("--why", default="by hand", show_default=True)
    @ID
    @OPERATOR
    @AT
    @JSON
    def order(of, why, request, path, address, as_json):
        command = [name, of, _user()] + ([why] if name == "halt" else [])
        _say(path, address, as_json, _given(request, name, of), command)

    return order


_order("halt", "No new permit of the release OF; who is out comes back.")
_order("resume", "Go on with the halted release OF.")
_order("back", "Take all that OF released back to the former version, in waves.")


@release.command("status")
@click.argument("of", required=False)
@OPERATOR
@AT
@JSON
def of_release(of, path, address, as_json):
    """Releases and how far each is; exit 1 where OF is not known."""
    said = _state(path, address, as_json)
    said["releases"] = [one for one in said["releases"] if of in (None, one["name"])]
    if of and not said["releases"]:
        _fail(f"{said['front']} knows no release {of}", as_json, 1)
    _shown(said, as_json, _tables(said))


@release.command()
@click.argument("of", required=False)
@OPERATOR
@AT
@JSON
def history(of, path, address, as_json):
    """What became of releases: entry of the log, release, what, by whom or why."""
    said = _state(path, address, as_json)
    rows = [row for row in said["history"] if of in (None, row[1])]
    table = Table(
        "entry", "release", "what", "by or why", title=f"{said['front']}: entry {said['index']}{_age(said)}"
    )
    for row in rows:
        table.add_row(*map(str, row))
    _shown({"ok": True, "history": rows}, as_json, table)


def _user():
    return os.environ.get("USER") or "operator"


PLAN = """release "NAME" { kind "std"; version "2"; former "1"; bake (min)10; wave "s-10"; wave "s-11" "s-12" }"""


def read_plan(path):
    """[name, kind, version, former, waves, bake ns] of a file with one `release` node; raises Faulty."""
    from sprucegate.config import source_locations

    try:
        with open(path, "rb") as opened:
            text = opened.read(1 << 20).decode()
        nodes, begun = ckdl.parse(text).nodes, source_locations.starts(text)
    except OSError as fault:
        raise operator_file.OperatorFileError(
            path, 1, "", f"can't be read: {os.strerror(fault.errno or 0)}"
        ) from None
    except Exception:  # ckdl raises several kinds
        raise operator_file.OperatorFileError(path, 1, "", "is not KDL") from None
    if len(nodes) != 1 or nodes[0].name != "release" or len(nodes[0].args) != 1:
        raise operator_file.OperatorFileError(path, 1, "release", f"wants one node as {PLAN}")
    found, waves = {}, []
    for node, at in zip(nodes[0].children, begun[0].children, strict=True):
        key = f"release.{node.name}"
        values = [value.value if isinstance(value, ckdl.Value) else value for value in node.args]
        if node.name == "wave":
            if not values or not all(isinstance(value, str) for value in values):
                raise operator_file.OperatorFileError(path, at.line, key, "wants names of boxes")
            waves.append(values)
        elif node.name in found or node.name not in ("kind", "version", "former", "bake") or len(values) != 1:
            raise operator_file.OperatorFileError(
                path, at.line, key, "is not known, stands twice or wants one value"
            )
        elif node.name == "bake":
            unit = node.args[0].type_annotation if isinstance(node.args[0], ckdl.Value) else None
            if (
                unit not in operator_file.TIME_UNITS
                or isinstance(values[0], bool)
                or not isinstance(values[0], int | float)
            ):
                raise operator_file.OperatorFileError(
                    path, at.line, key, "wants a time with its unit, as (min)10"
                )
            found["bake"] = int(values[0] * operator_file.TIME_UNITS[unit])
        elif not isinstance(values[0], str):
            raise operator_file.OperatorFileError(path, at.line, key, "wants a text")
        else:
            found[node.name] = values[0]
    if missing := [key for key in ("kind", "version", "former", "bake") if key not in found]:
        raise operator_file.OperatorFileError(path, begun[0].line, f"release.{missing[0]}", "is missing")
    if not waves:
        raise operator_file.OperatorFileError(path, begun[0].line, "release.wave", "is missing")
    return [str(nodes[0].args[0]), found["kind"], found["version"], found["former"], waves, found["bake"]]


COMMANDS = (keeper, keepers, drain, undrain, give_up, watch, release, out, started, renew)
