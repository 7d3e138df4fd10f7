"""Where the nodes of a KDL document begin: ckdl reads the document but tells no lines, and a message needs one.

Only as much of KDL 2 is read here as finds a node's first line: strings, comments, slashdash and braces.
"""

from typing import NamedTuple

import ckdl

from sprucegate.errors import ConfigurationError


class OperatorFileError(ConfigurationError):
    """A file of the operator's is wrong; nothing of it is taken.

    :ivar line: where the fault is, from 1 on.
    :ivar key: the path of the node or value, or "" for the file as a whole; `text`: what is wrong.
    """

    def __init__(self, file: str, line: int, key: str, text: str) -> None:
        super().__init__(f"{file}:{line}: {key}: {text}" if key else f"{file}:{line}: {text}")
        self.file = file
        self.line = line
        self.key = key
        self.text = text


DEPTH_MAX = 8  # braces that a prefix of a document may leave open


class Start(NamedTuple):
    """The first line of a node, and the starts of its children."""

    line: int
    children: list["Start"]


class _Reader:
    """Moves through a text; `at`: index of the next character."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.at = 0

    def starts(self) -> list[Start]:
        """Return the starts of the nodes up to a closing brace or the end."""
        found: list[Start] = []
        while True:
            self._space(newlines=True)
            if self.at >= len(self.text) or self.text[self.at] == "}":
                return found
            dropped = self._takes("/-")
            if dropped:
                self._space(newlines=True)
            line = self.text.count("\n", 0, self.at) + 1
            start = Start(line, self._node())
            if not dropped:
                found.append(start)

    def _takes(self, mark: str) -> bool:
        if self.text.startswith(mark, self.at):
            self.at += len(mark)
            return True
        return False

    def _space(self, newlines: bool = False) -> None:
        while self.at < len(self.text):
            if self._takes("//"):
                end = self.text.find("\n", self.at)
                self.at = len(self.text) if end < 0 else end
            elif self._takes("/*"):
                self._comment()
            elif self._takes("\\"):
                self._space()
                self._takes("\n")
            elif self.text[self.at] in " \t\r\ufeff" or newlines and self.text[self.at] in "\n;":
                self.at += 1
            else:
                return

    def _comment(self) -> None:
        depth = 1
        while depth and self.at < len(self.text):
            if self._takes("/*"):
                depth += 1
            elif self._takes("*/"):
                depth -= 1
            else:
                self.at += 1

    def _node(self) -> list[Start]:
        """Move past one node; return the starts of its children."""
        children: list[Start] = []
        while True:
            self._space()
            if self.at >= len(self.text) or self.text[self.at] in "\n;}":
                return children
            dropped = self._takes("/-")
            if dropped:
                self._space(newlines=True)
            if self._takes("{"):
                inner = self.starts()
                self._takes("}")
                children = children if dropped else inner
            else:
                self._word()

    def _word(self) -> None:
        """Move past one identifier, value or property, with any strings in it."""
        start = self.at
        while self.at < len(self.text) and self.text[self.at] not in " \t\r\n;{}\\":
            hashes = len(self.text) - self.at - len(self.text[self.at :].lstrip("#"))
            quoted = self.text[self.at + hashes : self.at + hashes + 1] == '"'
            if quoted:
                self._string(hashes)
            elif self.text.startswith(("//", "/*"), self.at):
                return
            else:
                self.at += 1
        if self.at == start:
            self.at += 1  # whatever it is, the reading goes on

    def _string(self, hashes: int) -> None:
        self.at += hashes
        mark = '"""' if self.text.startswith('"""', self.at) else '"'
        self.at += len(mark)
        end = mark + "#" * hashes
        while self.at < len(self.text) and not self._takes(end):
            self.at += 2 if not hashes and self.text[self.at] == "\\" else 1


def starts(text: str) -> list[Start]:
    """Return the lines at which nodes begin, in the document's order and nesting, without those a slashdash drops."""
    return _Reader(text).starts()


def _parses(text: str) -> bool:
    try:
        ckdl.parse(text)
    except Exception:  # ckdl raises several kinds
        return False
    return True


def fault_line(text: str) -> int:
    """Return the line where `text` stops being a document: the first whose prefix, closed as it stands, is none."""
    lines = text.split("\n")
    last = 0
    for count in range(1, len(lines) + 1):
        prefix = "\n".join(lines[:count])
        for depth in range(DEPTH_MAX + 1):
            if _parses(prefix + "\n" + "}" * depth):
                last = count
                break
    return min(last + 1, len(lines))
