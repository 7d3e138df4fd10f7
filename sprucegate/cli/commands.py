"""The command line. Exit status: 0 success, 1 failure, 2 wrong usage or invalid configuration."""

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


def _fail(error, as_json):
    if as_json:
        answer = {"ok": False, "file": error.file, "line": error.line, "key": error.key, "error": error.text}
        click.echo(orjson.dumps(answer).decode())
    else:
        click.echo(f"sprucegate: {error}", err=True)
    sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """A request router for a two-tier cache. Without a command it runs a front under the platform."""


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
    """Run a front, configured by BALANCER_CONFIG and the operator's file."""
    # Imported here so that `check` and `version` do not load the front's libraries.
    import uvloop

    from sprucegate.assembly.process_signals import run_to_exit
    from sprucegate.assembly.run import serve
    from sprucegate.cli.structured_logging import structured
    from sprucegate.front import configuration

    try:
        config = operator_file.read(path)
        front_configuration = configuration.read(os.environ)
        servers = config.servers.resolved(front_configuration.kinds)
    except operator_file.OperatorFileError as error:
        _fail(error, False)
    except configuration.FrontConfigurationError as error:
        click.echo(f"sprucegate: {error}", err=True)
        sys.exit(2)
    except KeyError as error:
        click.echo(f"sprucegate: {path}: servers.speak: kind {error} is not in settings.shapes", err=True)
        sys.exit(2)
    # As in __main__: objects created at startup live as long as the process; exempt them from collection.
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    front_configuration = front_configuration._replace(
        servers=servers,
        membership=config.membership,
        fleet=config.fleet,
        agreement=config.agreement and (config.agreement, config.rollout),
        shares=config.shares,
        log_gets=config.log.gets,
    )
    log = structured(front_configuration.name)
    sys.exit(uvloop.run(run_to_exit(serve(front_configuration, log))))


@main.command()
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def check(path, as_json):
    """Validate the operator's file FILE without starting anything."""
    try:
        config = operator_file.read(path)
    except operator_file.OperatorFileError as error:
        _fail(error, as_json)
    rules = config.servers.speak
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "ok": True,
                    "file": path,
                    "speak": [
                        {k: getattr(rule, k) for k in rule.__struct_fields__ if getattr(rule, k) is not None}
                        for rule in rules
                    ],
                }
            )
        )
    else:
        click.echo(f"{path}: valid, {len(rules)} rule{'s' * (len(rules) != 1)} for server protocols")


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
        package_version = metadata.version("sprucegate")
    except metadata.PackageNotFoundError:
        package_version = "0.1.0+source"  # run from a source tree, not installed
    python = sys.version.split()[0]
    click.echo(
        orjson.dumps({"sprucegate": package_version, "python": python}).decode()
        if as_json
        else f"sprucegate {package_version}, Python {python}"
    )
