"""Line numbers of the nodes in a KDL document, for error messages; ckdl does not report them.

Only as much of KDL 2 is scanned as is needed to find each node's first line: strings, comments, slashdash, braces.
"""

from typing import NamedTuple

import ckdl

from sprucegate.errors import ConfigurationError


class OperatorFileError(ConfigurationError):
    """An operator's file is invalid and is rejected as a whole.

    :ivar line: line of the error, from 1.
    :ivar key: path of the node or value, or "" for the file as a whole.
    :ivar text: description of the error.
    """

    def __init__(self, file: str, line: int, key: str, text: str) -> None:
        super().__init__(f"{file}:{line}: {key}: {text}" if key else f"{file}:{line}: {text}")
        self.file = file
        self.line = line
        self.key = key
        self.text = text


MAX_OPEN_BRACES = 8  # nesting up to which syntax_error_line closes the prefix of a document


class Start(NamedTuple):
    """The first line of a node, and the same for its children."""

    line: int
    children: list["Start"]


class _Scanner:
    """Scans a text; `at` is the index of the next character."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.at = 0

    def starts(self) -> list[Start]:
        """Return the starts of the nodes up to the closing brace or the end of the text."""
        nodes: list[Start] = []
        while True:
            self._skip_space(newlines=True)
            if self.at >= len(self.text) or self.text[self.at] == "}":
                return nodes
            commented_out = self._accept("/-")
            if commented_out:
                self._skip_space(newlines=True)
            line = self.text.count("\n", 0, self.at) + 1
            start = Start(line, self._skip_node())
            if not commented_out:
                nodes.append(start)

    def _accept(self, token: str) -> bool:
        if self.text.startswith(token, self.at):
            self.at += len(token)
            return True
        return False

    def _skip_space(self, newlines: bool = False) -> None:
        while self.at < len(self.text):
            if self._accept("//"):
                end = self.text.find("\n", self.at)
                self.at = len(self.text) if end < 0 else end
            elif self._accept("/*"):
                self._skip_block_comment()
            elif self._accept("\\"):
                self._skip_space()
                self._accept("\n")
            elif self.text[self.at] in " \t\r\ufeff" or newlines and self.text[self.at] in "\n;":
                self.at += 1
            else:
                return

    def _skip_block_comment(self) -> None:
        depth = 1
        while depth and self.at < len(self.text):
            if self._accept("/*"):
                depth += 1
            elif self._accept("*/"):
                depth -= 1
            else:
                self.at += 1

    def _skip_node(self) -> list[Start]:
        """Skip one node and return the starts of its children."""
        children: list[Start] = []
        while True:
            self._skip_space()
            if self.at >= len(self.text) or self.text[self.at] in "\n;}":
                return children
            commented_out = self._accept("/-")
            if commented_out:
                self._skip_space(newlines=True)
            if self._accept("{"):
                inner = self.starts()
                self._accept("}")
                children = children if commented_out else inner
            else:
                self._skip_word()

    def _skip_word(self) -> None:
        """Skip one identifier, value or property, including strings in it."""
        start = self.at
        while self.at < len(self.text) and self.text[self.at] not in " \t\r\n;{}\\":
            hashes = len(self.text) - self.at - len(self.text[self.at :].lstrip("#"))
            quoted = self.text[self.at + hashes : self.at + hashes + 1] == '"'
            if quoted:
                self._skip_string(hashes)
            elif self.text.startswith(("//", "/*"), self.at):
                return
            else:
                self.at += 1
        if self.at == start:
            self.at += 1  # unexpected character: skip it so that the scan terminates

    def _skip_string(self, hashes: int) -> None:
        self.at += hashes
        quote = '"""' if self.text.startswith('"""', self.at) else '"'
        self.at += len(quote)
        end = quote + "#" * hashes
        while self.at < len(self.text) and not self._accept(end):
            self.at += 2 if not hashes and self.text[self.at] == "\\" else 1


def starts(text: str) -> list[Start]:
    """Return the first line of each node, in document order and nesting, except nodes disabled by a slashdash."""
    return _Scanner(text).starts()


def _parses(text: str) -> bool:
    try:
        ckdl.parse(text)
    except Exception:  # ckdl raises several types of exceptions
        return False
    return True


def syntax_error_line(text: str) -> int:
    """Return the line of the syntax error in `text`.

    It is the line after the longest prefix of whole lines that parses once its open braces are closed.
    """
    lines = text.split("\n")
    last_valid = 0
    for count in range(1, len(lines) + 1):
        prefix = "\n".join(lines[:count])
        for depth in range(MAX_OPEN_BRACES + 1):
            if _parses(prefix + "\n" + "}" * depth):
                last_valid = count
                break
    return min(last_valid + 1, len(lines))
