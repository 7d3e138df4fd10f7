"""The command line. Exit status: 0 done, 1 it failed, 2 wrong use or configuration."""

import gc
import os
import sys
from importlib import metadata

import click
import orjson

from sprucegate.cli import operator_file
from sprucegate.cli.fleet import fleet
from sprucegate.cli.rollout import COMMANDS
from sprucegate.cli.servers import servers
from sprucegate.cli.story import story


def _fault(fault, as_json):
    if as_json:
        said = {"ok": False, "file": fault.file, "line": fault.line, "key": fault.key, "error": fault.text}
        click.echo(orjson.dumps(said).decode())
    else:
        click.echo(f"sprucegate: {fault}", err=True)
    sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """A traffic router for a two-tier cache. Without a command it is the platform's front."""


@main.command()
@click.option(
    "--file",
    "path",
    type=click.Path(dir_okay=False),
    default="deploy/sprucegate.kdl",
    show_default=True,
    help="The operator's file.",
)
def front(path):
    """Serve as a front, by BALANCER_CONFIG and the operator's file."""
    # Here and not above: `check` and `version` start without the front's libraries.
    import uvloop

    from sprucegate.assembly.run import serve
    from sprucegate.cli.structured_logging import structured
    from sprucegate.front import configuration

    try:
        said = operator_file.read(path)
        wanted = configuration.read(os.environ)
        servers = said.servers.resolved(wanted.kinds)
    except operator_file.OperatorFileError as fault:
        _fault(fault, False)
    except configuration.FrontConfigurationError as fault:
        click.echo(f"sprucegate: {fault}", err=True)
        sys.exit(2)
    except KeyError as fault:
        click.echo(f"sprucegate: {path}: servers.speak: kind {fault} is not in settings.shapes", err=True)
        sys.exit(2)
    # As the platform's front: what the start built stays.
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    wanted = wanted._replace(
        servers=servers,
        membership=said.membership,
        fleet=said.fleet,
        agreement=said.agreement and (said.agreement, said.rollout),
        shares=said.shares,
        log_gets=said.log.gets,
    )
    sys.exit(uvloop.run(serve(wanted, structured(wanted.name))))


@main.command()
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def check(path, as_json):
    """Say whether the operator's file FILE can be taken, without starting anything."""
    try:
        said = operator_file.read(path)
    except operator_file.OperatorFileError as fault:
        _fault(fault, as_json)
    rules = said.servers.speak
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "ok": True,
                    "file": path,
                    "speak": [
                        {k: getattr(one, k) for k in one.__struct_fields__ if getattr(one, k) is not None}
                        for one in rules
                    ],
                }
            )
        )
    else:
        click.echo(f"{path}: good, {len(rules)} rule{'s' * (len(rules) != 1)} on what servers speak")


main.add_command(servers)
main.add_command(fleet)
main.add_command(story)
for command in COMMANDS:
    fleet.add_command(command)


@main.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def version(as_json):
    """Print the version of sprucegate and of Python."""
    try:
        own = metadata.version("sprucegate")
    except metadata.PackageNotFoundError:
        own = "0.1.0+source"  # started from a clone that is not installed
    python = sys.version.split()[0]
    click.echo(
        orjson.dumps({"sprucegate": own, "python": python}).decode()
        if as_json
        else f"sprucegate {own}, Python {python}"
    )
