"""Reads a complete list, or none, from a file or a folder of parts. Blocking: it runs in a thread or a worker process.

A file is complete if it has the digest in `FILE.sha256` beside it; without such a file, if size, mtime, inode and bytes
are the same at two reads SETTLE_S apart. A folder is complete if each part has the digest that the manifest gives.
"""

import hashlib
import os
import time
from pathlib import Path
from typing import Any, NamedTuple

import ckdl

from sprucegate.config.source_locations import OperatorFileError
from sprucegate.discovery.list_format import LIST_BYTES_MAX
from sprucegate.errors import ConfigurationError

SETTLE_S = 0.03  # between two reads of a file without a digest
MANIFEST = "manifest.kdl"
PARTS_MAX = 64
DIGEST_FILE_CHARACTERS_MAX = 200

Signature = tuple[int, int, int]  # inode, size, mtime in ns


class ListContents(NamedTuple):
    """A list that was read completely.

    :ivar texts: (file, text) of each part.
    :ivar digest: SHA-256 in hex; a list of the same digest is no new generation.
    """

    texts: list[tuple[str, str]]
    digest: str


class FileIncompleteError(ConfigurationError):
    """The list is being written or is missing. Not an error yet: it is to be read again soon."""


def signature(path: str) -> Signature | None:
    """Return inode, size and mtime, which change with the list (for a folder: its manifest), or None if missing."""
    try:
        file = Path(path)
        if file.is_dir():
            file = file / MANIFEST
        return _signature_of(file.stat())
    except OSError:
        return None


def _signature_of(found: os.stat_result) -> Signature:
    return found.st_ino, found.st_size, found.st_mtime_ns


def read(path: str, settle: float = SETTLE_S) -> ListContents:
    """Return the list; raises FileIncompleteError if it is incomplete, OperatorFileError if a retry would not help.

    `settle`: seconds between two reads of a file without a digest.
    """
    try:
        return _read_folder(Path(path)) if Path(path).is_dir() else _read_file(path, settle)
    except FileNotFoundError:
        problem = f"{path} is missing"
        raise FileIncompleteError(problem) from None
    except OSError as fault:
        raise OperatorFileError(path, 1, "", f"can't be read: {fault.strerror}") from None


def _read_bytes(path: str | Path) -> tuple[bytes, Signature]:
    with open(path, "rb") as file:  # noqa: PTH123 - the tests inject faults at this call by its name
        found = os.fstat(file.fileno())
        data = file.read(LIST_BYTES_MAX + 1)
    if len(data) > LIST_BYTES_MAX:
        raise OperatorFileError(str(path), 1, "", f"is larger than {LIST_BYTES_MAX} bytes")
    return data, _signature_of(found)


def _decode(path: str | Path, data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as fault:
        line = data.count(b"\n", 0, fault.start) + 1
        raise OperatorFileError(str(path), line, "", "is not valid UTF-8") from None


def _read_file(path: str, settle: float) -> ListContents:
    data, found = _read_bytes(path)
    digest = hashlib.sha256(data).hexdigest()
    try:
        words = Path(f"{path}.sha256").read_text()[:DIGEST_FILE_CHARACTERS_MAX].split()
    except FileNotFoundError:
        time.sleep(settle)
        if _read_bytes(path) != (data, found) or len(data) != found[1]:
            problem = f"{path} is being written"
            raise FileIncompleteError(problem) from None
    else:
        if words[:1] != [digest]:
            problem = f"{path} does not match the digest in {path}.sha256 yet"
            raise FileIncompleteError(problem)
    return ListContents([(str(path), _decode(path, data))], digest)


def _read_folder(folder: Path) -> ListContents:
    parts = _manifest_parts(folder / MANIFEST)
    texts = []
    digests = hashlib.sha256()
    size = 0
    for name, digest in parts:
        data, _ = _read_bytes(folder / name)
        size += len(data)
        if size > LIST_BYTES_MAX:
            raise OperatorFileError(
                str(folder), 1, "", f"its parts are together larger than {LIST_BYTES_MAX} bytes"
            )
        if hashlib.sha256(data).hexdigest() != digest:
            problem = f"{folder / name} does not match the digest in the manifest yet"
            raise FileIncompleteError(problem)
        digests.update(digest.encode())
        texts.append((str(folder / name), _decode(folder / name, data)))
    return ListContents(texts, digests.hexdigest())


def _manifest_parts(manifest: Path) -> list[tuple[str, str]]:
    """Return (name, digest) of each part in a manifest."""
    data, _ = _read_bytes(manifest)
    text = _decode(manifest, data)
    try:
        nodes = ckdl.parse(text).nodes
    except Exception:  # ckdl raises several types of exception
        problem = f"{manifest} is not valid KDL, or is being written"
        raise FileIncompleteError(problem) from None
    parts = []
    for index, node in enumerate(nodes):
        if not _is_part(node):
            raise OperatorFileError(str(manifest), index + 1, node.name, 'must be `part "NAME" sha256="..."`')
        parts.append((node.args[0], node.properties["sha256"]))
    if not parts or len(parts) > PARTS_MAX:
        raise OperatorFileError(str(manifest), 1, "part", f"must have from 1 to {PARTS_MAX} parts")
    return parts


def _is_part(node: Any) -> bool:
    """Tell whether a node gives the name of a file directly in the folder, and its digest."""
    if node.name != "part" or len(node.args) != 1 or not isinstance(node.properties.get("sha256"), str):
        return False
    name = node.args[0]
    return isinstance(name, str) and "/" not in name and not name.startswith(".")
