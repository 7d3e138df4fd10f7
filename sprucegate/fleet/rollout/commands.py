"""The types of the state machine's commands.

A command that doesn't fit is refused before it is proposed: once committed it would fail in every process.
"""

import msgspec

from sprucegate.fleet.rollout.gates import METRICS

TEXT_LENGTH_MAX = 200  # characters of a name or a reason
BOXES_MAX = 5000  # servers in one "boxes" command
ARGUMENT_TYPES = {
    "ask": tuple[str, str, str, str],
    "withdraw": tuple[str],
    "drained": tuple[str, str, int],
    "out": tuple[str, str],
    "renew": tuple[str, str],
    "late": tuple[str, int],
    "started": tuple[str, str],
    "warm": tuple[str, str, str, int],
    "give-up": tuple[str],
    "stands": tuple[str, str],
    "front": tuple[str, int, bool],
    "left": tuple[str, int],
    "boxes": tuple[list[tuple[str, str, str, str, str, int]]],
    "limits": tuple[list[tuple[str, str, str, int, int]], tuple[int, int]],
    "release": tuple[tuple[str, str, str, str, list[list[str]], int], str],
    "halt": tuple[str, str, str],
    "resume": tuple[str, str],
    "back": tuple[str, str],
    "gate": tuple[str, int, int, bool, str],
    "trouble": tuple[str, str],
}
OPERATOR_COMMANDS = (
    "ask",
    "withdraw",
    "give-up",
    "release",
    "halt",
    "resume",
    "back",
    "out",
    "renew",
    "started",
)
REPORT_TYPE = tuple[list[tuple[str, int, int, int, int, int, int]], list[str], dict[str, str]]
# A row of a report: box, GETs, errors, sheds, late, misses, starts. It has starts where METRICS has crashes.
assert len(METRICS) == 5


def validation_error(command):
    """Return why this is not a valid command, or ""."""
    if not isinstance(command, list) or not command or not isinstance(command[0], str):
        return "no command"
    if command[0] == "once":
        if len(command) != 3 or not isinstance(command[1], str) or not 0 < len(command[1]) <= TEXT_LENGTH_MAX:
            return "once wants an id and a command"
        if not isinstance(command[2], list) or command[2][:1] == ["once"]:
            return "no command"
        return validation_error(command[2])
    fields = ARGUMENT_TYPES.get(command[0])
    if fields is None:
        return f"{command[0][:60]} is not known"
    try:
        arguments = msgspec.convert(command[1:], fields)
    except msgspec.ValidationError as error:
        return f"{command[0]}: {error}"
    if any(isinstance(one, str) and len(one) > TEXT_LENGTH_MAX for one in arguments):
        return f"{command[0]}: a text of more than {TEXT_LENGTH_MAX} characters"
    if command[0] == "boxes" and len(arguments[0]) > BOXES_MAX:
        return f"boxes: more than {BOXES_MAX}"
    return ""


def parse_report(received):
    """Return a front's report, or an empty one if it is not valid."""
    try:
        return msgspec.convert(received, REPORT_TYPE)
    except msgspec.ValidationError:
        return []
