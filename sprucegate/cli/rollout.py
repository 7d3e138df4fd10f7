"""`sprucegate fleet keeper|keepers|drain|undrain|give-up|release|watch`: drains and releases of software."""

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
from sprucegate.cli.fleet import (
    FRONT_ADDRESS,
    JSON_OUTPUT,
    OPERATOR_FILE,
    _fail,
    _fleet_node,
    _print_answer,
    _query,
)

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
REQUEST_ID = click.option("--id", "request", help="ID of a request to repeat; it takes effect once only.")


def _request_id(request, *words):
    """Return the given ID, or a new one.

    The ID is printed with the answer, so that a request whose outcome is unknown can be repeated.
    """
    checksum = zlib.crc32("\0".join([*words, str(clock.unix()), str(os.getpid())]).encode())
    return request or f"{words[0]}-{checksum:08x}"


def _propose(path, address, as_json, request, command):
    """Propose a command for the replicated log; exit 1 if refused or without a majority of voters."""
    answer = _query(
        _fleet_node(path, as_json),
        address,
        "propose",
        [orjson.dumps(["once", request, command]).decode()],
        as_json,
        allow_refusal=True,
    )
    if not answer.get("ok"):
        error = f"{answer.get('error', 'refused')} (request {request})"
        _fail(error, as_json, 1 if "quorum" in answer else 2)
    refused = answer["word"].startswith(REFUSALS) or answer["word"].endswith("is not over")
    if as_json:
        click.echo(orjson.dumps({**answer, "ok": not refused, "request": request}).decode())
    else:
        click.echo(f"{answer['front']}: {answer['word']} (entry {answer['index']}, request {request})")
    sys.exit(1 if refused else 0)


def _log_state(path, address, as_json):
    return _query(_fleet_node(path, as_json), address, "agreed", (), as_json)


def _freshness(answer):
    heard = answer["heard_ms"]
    return (
        ""
        if heard is None
        else f", by {answer['leader'] or 'no leader'}, heard from {heard} ms ago"
        + ("; STALE: NO CONTACT TO THE KEEPERS" if answer["fenced"] else "")
    )


def _tables(answer):
    title = f"{answer['front']}: entry {answer['index']}{_freshness(answer)}"
    if answer["troubles"]:
        title += "; releases are waiting: " + ", ".join(f"{k} {v}" for k, v in answer["troubles"].items())
    permits = Table("permit", "box", "step", "by", "release", "waits for, or held by", title=title)
    for permit in answer["permits"]:
        waits = (
            permit["waits"]
            and f"{permit['waits'][0]} {permit['waits'][1]} ({permit['waits'][2]} of {permit['waits'][3]})"
        )
        permits.add_row(
            permit["id"],
            permit["box"],
            permit["step"] + (" OVERDUE" if permit["overdue"] else ""),
            permit["by"],
            permit["release"],
            waits or permit["holder"],
        )
    releases = Table("release", "phase", "wave", "released", "of", "why")
    for entry in answer["releases"]:
        releases.add_row(
            entry["name"],
            entry["phase"],
            f"{entry['wave'] + 1} of {len(entry['waves'])}",
            str(len(entry["done"])),
            str(sum(map(len, entry["waves"]))),
            entry["why"],
        )
    out = Table("out", "why")
    for box, why in sorted(answer["out"].items()):
        out.add_row(box, why)
    return Group(permits, releases, out)


@click.command()
@click.argument("name")
@OPERATOR_FILE
@click.option(
    "--trust-folder",
    is_flag=True,
    help="Trust that the state directory is intact, though too few other keepers answer to confirm it.",
)
@click.option(
    "--only-one-left", is_flag=True, help="The other keepers are lost for good: continue as the only voter."
)
def keeper(name, path, trust_folder, only_one_left):
    """Run only a voter of the replicated log, under NAME, one of the keepers in the operator's file."""
    import uvloop

    from sprucegate.assembly.keep import run_voter
    from sprucegate.assembly.process_signals import run_to_exit
    from sprucegate.cli.structured_logging import structured

    try:
        config = operator_file.read(path)
    except operator_file.OperatorFileError as error:
        _fail(str(error), False, 2)
    if config.fleet is None or config.agreement is None:
        _fail(f"{path}: agreement: is missing; a keeper needs it", False, 2)
    if name not in config.agreement.addresses:
        _fail(f"{path}: agreement.keepers: does not list {name}", False, 2)
    sys.exit(
        uvloop.run(
            run_to_exit(
                run_voter(
                    name,
                    config.fleet,
                    config.agreement,
                    config.rollout,
                    structured(name),
                    trusted=trust_folder,
                    only_one_left=only_one_left,
                )
            )
        )
    )


@click.command()
@OPERATOR_FILE
@JSON_OUTPUT
def keepers(path, as_json):
    """Show each keeper's role, term and committed entry, and the voters and learners that it knows."""
    node = _fleet_node(path, as_json)
    if (agreement := operator_file.read(path).agreement) is None:
        _fail(f"{path}: agreement: is missing", as_json, 2)
    rows = []
    for name, at in agreement.addresses.items():
        answer = _query(node, at, "agreed", (), as_json, quiet=True)
        rows.append((name, at, (answer or {}).get("voting") or {"role": "no answer"}))
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
    _print_answer(
        {"ok": True, "keepers": [{"keeper": n, "address": a, **one} for n, a, one in rows]}, as_json, table
    )
    sys.exit(0 if any(one["role"] == "leader" for *_, one in rows) else 1)


@click.command()
@click.argument("box")
@click.option("--why", default="by hand", show_default=True)
@REQUEST_ID
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def drain(box, why, request, path, address, as_json):
    """Request a permit to take BOX, a cache or a front, out of service; see `fleet watch`."""
    request = _request_id(request, "drain", box)
    _propose(path, address, as_json, request, ["ask", request, box, _user(), why])


@click.command()
@click.argument("permit")
@REQUEST_ID
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def undrain(permit, request, path, address, as_json):
    """Withdraw the request PERMIT, unless its box is out already."""
    _propose(path, address, as_json, _request_id(request, "undrain", permit), ["withdraw", permit])


@click.command()
@click.argument("permit")
@REQUEST_ID
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def out(permit, request, path, address, as_json):
    """For box agents: report that PERMIT's box is about to be stopped; exit 1 while it is not drained."""
    request = _request_id(request, "out", permit)
    _propose(path, address, as_json, request, ["out", permit, _user()])


@click.command()
@click.argument("permit")
@click.argument("start")
@REQUEST_ID
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def started(permit, start, request, path, address, as_json):
    """For box agents: report that the box of PERMIT runs again; START is an ID unique to this start."""
    _propose(path, address, as_json, _request_id(request, "started", permit), ["started", permit, start])


@click.command()
@click.argument("permit")
@REQUEST_ID
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def renew(permit, request, path, address, as_json):
    """For box agents: report at least every 30 s that the replacement of PERMIT's box goes on."""
    _propose(path, address, as_json, _request_id(request, "renew", permit), ["renew", permit, _user()])


@click.command("give-up")
@click.argument("box")
@REQUEST_ID
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def give_up(box, request, path, address, as_json):
    """Declare that BOX will not come back; it no longer counts as out or in service."""
    _propose(path, address, as_json, _request_id(request, "give-up", box), ["give-up", box])


@click.command()
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def watch(path, address, as_json):
    """Show permits, releases and boxes that are out.

    Prints once with --json or into a pipe, else a live view until Ctrl-C.
    """
    if as_json or not sys.stdout.isatty():
        answer = _log_state(path, address, as_json)
        return _print_answer(answer, as_json, _tables(answer))
    with Live(_tables(_log_state(path, address, False)), refresh_per_second=4) as live:
        while True:
            time.sleep(0.5)
            live.update(_tables(_log_state(path, address, False)))


@click.group()
def release():
    """Releases: start one from a plan of waves, halt it, resume it, or roll it back."""


@release.command()
@click.argument("plan", type=click.Path(dir_okay=False))
@REQUEST_ID
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def start(plan, request, path, address, as_json):
    """Start the release that the file PLAN describes."""
    try:
        release_arguments = read_plan(plan)
    except operator_file.OperatorFileError as error:
        _fail(str(error), as_json, 2)
    _propose(
        path,
        address,
        as_json,
        _request_id(request, "start", release_arguments[0]),
        ["release", release_arguments, _user()],
    )


def _add_release_command(name, text):
    @release.command(name, help=text)
    @click.argument("of")
    @click.option("--why", default="by hand", show_default=True)
    @REQUEST_ID
    @OPERATOR_FILE
    @FRONT_ADDRESS
    @JSON_OUTPUT
    def propose_command(of, why, request, path, address, as_json):
        proposal = [name, of, _user()] + ([why] if name == "halt" else [])
        _propose(path, address, as_json, _request_id(request, name, of), proposal)

    return propose_command


_add_release_command("halt", "Grant no new permits of the release OF; boxes that are out come back.")
_add_release_command("resume", "Resume the halted release OF.")
_add_release_command("back", "Roll back all boxes that OF released to the former version, in waves.")


@release.command("status")
@click.argument("of", required=False)
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def release_status(of, path, address, as_json):
    """Show the progress of each release; exit 1 if OF is not known."""
    answer = _log_state(path, address, as_json)
    answer["releases"] = [one for one in answer["releases"] if of in (None, one["name"])]
    if of and not answer["releases"]:
        _fail(f"{answer['front']} knows no release {of}", as_json, 1)
    _print_answer(answer, as_json, _tables(answer))


@release.command()
@click.argument("of", required=False)
@OPERATOR_FILE
@FRONT_ADDRESS
@JSON_OUTPUT
def history(of, path, address, as_json):
    """Show the history of releases: log entry, release, event, and by whom or why."""
    answer = _log_state(path, address, as_json)
    rows = [row for row in answer["history"] if of in (None, row[1])]
    table = Table(
        "entry",
        "release",
        "what",
        "by or why",
        title=f"{answer['front']}: entry {answer['index']}{_freshness(answer)}",
    )
    for row in rows:
        table.add_row(*map(str, row))
    _print_answer({"ok": True, "history": rows}, as_json, table)


def _user():
    return os.environ.get("USER") or "operator"


PLAN_EXAMPLE = (
    'release "NAME" { kind "std"; version "2"; former "1"; bake (min)10; wave "s-10"; wave "s-11" "s-12" }'
)


def read_plan(path):
    """Return [name, kind, version, former, waves, bake in ns] of a plan; raises OperatorFileError.

    A plan is a file with one `release` node.
    """
    from sprucegate.config import source_locations

    try:
        with open(path, "rb") as file:
            text = file.read(1 << 20).decode()
        nodes, positions = ckdl.parse(text).nodes, source_locations.starts(text)
    except OSError as error:
        raise operator_file.OperatorFileError(
            path, 1, "", f"can't be read: {os.strerror(error.errno or 0)}"
        ) from None
    except Exception:  # ckdl raises several types of exceptions
        raise operator_file.OperatorFileError(path, 1, "", "is not valid KDL") from None
    if len(nodes) != 1 or nodes[0].name != "release" or len(nodes[0].args) != 1:
        raise operator_file.OperatorFileError(
            path, 1, "release", f"must have one node such as {PLAN_EXAMPLE}"
        )
    settings, waves = {}, []
    for node, position in zip(nodes[0].children, positions[0].children, strict=True):
        key = f"release.{node.name}"
        values = [value.value if isinstance(value, ckdl.Value) else value for value in node.args]
        if node.name == "wave":
            if not values or not all(isinstance(value, str) for value in values):
                raise operator_file.OperatorFileError(path, position.line, key, "must have names of boxes")
            waves.append(values)
        elif (
            node.name in settings
            or node.name not in ("kind", "version", "former", "bake")
            or len(values) != 1
        ):
            raise operator_file.OperatorFileError(
                path, position.line, key, "is not known, is given twice or has not exactly one value"
            )
        elif node.name == "bake":
            unit = node.args[0].type_annotation if isinstance(node.args[0], ckdl.Value) else None
            if (
                unit not in operator_file.TIME_UNITS
                or isinstance(values[0], bool)
                or not isinstance(values[0], int | float)
            ):
                raise operator_file.OperatorFileError(
                    path, position.line, key, "must be a time with its unit, such as (min)10"
                )
            settings["bake"] = int(values[0] * operator_file.TIME_UNITS[unit])
        elif not isinstance(values[0], str):
            raise operator_file.OperatorFileError(path, position.line, key, "must be a string")
        else:
            settings[node.name] = values[0]
    if missing := [key for key in ("kind", "version", "former", "bake") if key not in settings]:
        raise operator_file.OperatorFileError(path, positions[0].line, f"release.{missing[0]}", "is missing")
    if not waves:
        raise operator_file.OperatorFileError(path, positions[0].line, "release.wave", "is missing")
    return [
        str(nodes[0].args[0]),
        settings["kind"],
        settings["version"],
        settings["former"],
        waves,
        settings["bake"],
    ]


COMMANDS = (keeper, keepers, drain, undrain, give_up, watch, release, out, started, renew)
