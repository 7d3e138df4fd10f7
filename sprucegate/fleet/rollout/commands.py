"""The commands of the machine by shape: what does not fit is refused at the door, or all would trip over it."""

import msgspec

from sprucegate.fleet.rollout.gates import MEASURES

TEXT_MOST = 200  # characters of a name or a reason
BOXES_MOST = 5000
SHAPES = {
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
BY_OPERATORS = ("ask", "withdraw", "give-up", "release", "halt", "resume", "back", "out", "renew", "started")
REPORT = tuple[list[tuple[str, int, int, int, int, int, int]], list[str], dict[str, str]]
assert len(MEASURES) == 5  # the columns of a report after the count of GETs, starts in the place of crashes


def fault(command):
    """Why that can't be a command, or ""."""
    if not isinstance(command, list) or not command or not isinstance(command[0], str):
        return "no command"
    if command[0] == "once":
        if len(command) != 3 or not isinstance(command[1], str) or not 0 < len(command[1]) <= TEXT_MOST:
            return "once wants an id and a command"
        if not isinstance(command[2], list) or command[2][:1] == ["once"]:
            return "no command"
        return fault(command[2])
    shape = SHAPES.get(command[0])
    if shape is None:
        return f"{command[0][:60]} is not known"
    try:
        said = msgspec.convert(command[1:], shape)
    except msgspec.ValidationError as wrong:
        return f"{command[0]}: {wrong}"
    if any(isinstance(one, str) and len(one) > TEXT_MOST for one in said):
        return f"{command[0]}: a text of more than {TEXT_MOST} characters"
    if command[0] == "boxes" and len(said[0]) > BOXES_MOST:
        return f"boxes: more than {BOXES_MOST}"
    return ""


def report(told):
    """A front's report where it fits, or an empty one."""
    try:
        return msgspec.convert(told, REPORT)
    except msgspec.ValidationError:
        return []
