"""Reading a list whole or not at all, from a file or a folder of parts. Blocking: it runs in a thread or a worker.

A file is whole where its digest says so (`FILE.sha256` beside it, or the manifest of a folder); else where size, mtime,
inode and bytes are the same at two reads `SETTLE` apart. A folder is whole where its manifest names each part's digest.
"""

import hashlib
import os
import time
from pathlib import Path
from typing import NamedTuple

import ckdl

from sprucegate.config.source_locations import OperatorFileError
from sprucegate.discovery.list_format import SIZE_MOST
from sprucegate.errors import ConfigurationError

SETTLE = 0.03  # seconds between two reads of a file without a digest
MANIFEST = "manifest.kdl"
PARTS_MOST = 64


class Read(NamedTuple):
    texts: list  # (file, text) of each part
    digest: str  # of all bytes: the same content is no new generation


class FileIncompleteError(ConfigurationError):
    """It is being written, or not there at all: asked for again soon, and no fault yet."""


def signature(path):
    """What tells a change without reading: of a folder, of its manifest."""
    try:
        at = Path(path)
        at = at / MANIFEST if at.is_dir() else at
        found = at.stat()
        return found.st_ino, found.st_size, found.st_mtime_ns
    except OSError:
        return None


def read(path, settle=SETTLE):
    """A Read; raises Unsettled where it is not whole, Faulty where it can't become so by waiting."""
    try:
        return _folder(path) if os.path.isdir(path) else _file(path, settle)
    except FileNotFoundError:
        raise FileIncompleteError(f"{path} is not there") from None
    except OSError as fault:
        raise OperatorFileError(path, 1, "", f"can't be read: {fault.strerror}") from None


def _bytes(path):
    with open(path, "rb") as file:
        found = os.fstat(file.fileno())
        data = file.read(SIZE_MOST + 1)
    if len(data) > SIZE_MOST:
        raise OperatorFileError(str(path), 1, "", f"is larger than {SIZE_MOST} bytes")
    return data, (found.st_ino, found.st_size, found.st_mtime_ns)


def _text(path, data):
    try:
        return data.decode()
    except UnicodeDecodeError as fault:
        raise OperatorFileError(
            str(path), data.count(b"\n", 0, fault.start) + 1, "", "is not UTF-8"
        ) from None


def _file(path, settle):
    data, seen = _bytes(path)
    digest = hashlib.sha256(data).hexdigest()
    try:
        said = Path(f"{path}.sha256").read_text()[:200].split()[:1]
    except FileNotFoundError:
        said = None
    if said is not None:
        if said != [digest]:
            raise FileIncompleteError(f"{path} does not have the digest that {path}.sha256 says")
    else:
        time.sleep(settle)
        if _bytes(path) != (data, seen) or len(data) != seen[1]:
            raise FileIncompleteError(f"{path} is being written")
    return Read([(str(path), _text(path, data))], digest)


def _folder(path):
    base = Path(path)
    manifest, _ = _bytes(base / MANIFEST)
    try:
        nodes = ckdl.parse(_text(base / MANIFEST, manifest)).nodes
    except OperatorFileError:
        raise
    except Exception:
        raise FileIncompleteError(f"{base / MANIFEST} is not KDL, or is being written") from None
    named = []
    for at, node in enumerate(nodes):
        digest = node.properties.get("sha256")
        if (
            node.name != "part"
            or len(node.args) != 1
            or not isinstance(node.args[0], str)
            or (not isinstance(digest, str))
            or "/" in node.args[0]
            or node.args[0].startswith(".")
        ):
            raise OperatorFileError(
                str(base / MANIFEST), at + 1, node.name, 'wants `part "NAME" sha256="..."`'
            )
        named.append((node.args[0], digest))
    if not named or len(named) > PARTS_MOST:
        raise OperatorFileError(str(base / MANIFEST), 1, "part", f"from 1 to {PARTS_MOST} parts are wanted")
    texts, whole, size = [], hashlib.sha256(), 0
    for name, digest in named:
        data, _ = _bytes(base / name)
        size += len(data)
        if size > SIZE_MOST:
            raise OperatorFileError(str(base), 1, "", f"its parts are larger than {SIZE_MOST} bytes")
        if hashlib.sha256(data).hexdigest() != digest:
            raise FileIncompleteError(f"{base / name} does not have the digest that the manifest says")
        whole.update(digest.encode())
        texts.append((str(base / name), _text(base / name, data)))
    return Read(texts, whole.hexdigest())
