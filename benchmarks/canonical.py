"""A canonical form of decisions, messages and trace entries that no renaming of the code changes.

Classes, enum members and words are replaced by numbers from a `Vocabulary`; field names are dropped and their values
kept in the order of the fields. What the vocabulary lacks raises `Unknown`: nothing is passed over.

The form is made of JSON values. Every value but a plain one is a list that begins with its sort:

    ["kind", number, value, ...]        a NamedTuple, dataclass or msgspec struct
    ["word", number, digits, ...]       a text of the vocabulary, and the digits that stood in it
    ["name", text]                      an identifier, kept as it is
    ["pairs", [key, value], ...]        a dict, in its own order
    ["set", value, ...]                 a set, sorted
    ["bytes", hex]
    ["list", value, ...]                a list or a tuple

An enum member is its position among the members of its class. Numbers, booleans and None stay as they are.
"""

import dataclasses
import hashlib
import json
import re
from enum import Enum

PLAIN = (int, float, bool, type(None))
DIGITS = re.compile(r"\d+(?:\.\d+)?")


class Unknown(LookupError):
    """A class or a text that has no number in the vocabulary."""


class Vocabulary:
    """The numbers of classes, event words and other texts, and the pattern of identifiers that are kept."""

    def __init__(self, kinds, events, words, names):
        self.kinds = kinds
        self.events = events
        self.words = words
        self.names = re.compile(names)

    def kind(self, cls):
        if cls not in self.kinds:
            raise Unknown(f"the class {cls.__module__}.{cls.__qualname__} has no number")
        return self.kinds[cls]

    def event(self, text):
        if text not in self.events:
            raise Unknown(f"the event {text!r} has no number")
        return ["word", self.events[text]]

    def text(self, text):
        if self.names.fullmatch(text):
            return ["name", text]
        template = DIGITS.sub("#", text)
        if template not in self.words:
            raise Unknown(f"the text {template!r} has no number")
        return ["word", self.words[template], *DIGITS.findall(text)]


def canonical(value, vocabulary):
    """The canonical form of one value, made of JSON values alone."""
    if type(value) in PLAIN:
        return value
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, str):
        return vocabulary.text(value)
    if isinstance(value, bytes | bytearray):
        return ["bytes", value.hex()]
    if isinstance(value, dict):
        pairs = value.items()
        return ["pairs", *[[canonical(key, vocabulary), canonical(held, vocabulary)] for key, held in pairs]]
    if isinstance(value, set | frozenset):
        return ["set", *sorted([canonical(member, vocabulary) for member in value], key=json.dumps)]
    fields = _fields(value)
    if fields is not None:
        number = vocabulary.kind(type(value))
        return ["kind", number, *[canonical(field, vocabulary) for field in fields]]
    if type(value) in (list, tuple):
        return ["list", *[canonical(member, vocabulary) for member in value]]
    raise Unknown(f"the class {type(value).__module__}.{type(value).__qualname__} has no canonical form")


def _fields(value):
    """The values of a record in the order of its fields; None where it is no record."""
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return list(value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [getattr(value, field.name) for field in dataclasses.fields(value)]
    if hasattr(value, "__struct_fields__"):
        return [getattr(value, name) for name in value.__struct_fields__]
    return None


def canonical_entry(entry, vocabulary):
    """The canonical form of one trace entry: (time, name, event, ...)."""
    time, name, event, *more = entry
    head = [canonical(time, vocabulary), canonical(name, vocabulary), vocabulary.event(event)]
    return [*head, *[canonical(value, vocabulary) for value in more]]


class Digest:
    """A running SHA-256 over values in canonical form."""

    def __init__(self, vocabulary):
        self.vocabulary = vocabulary
        self.hash = hashlib.sha256()

    def add(self, *values):
        for value in values:
            self._add(canonical(value, self.vocabulary))

    def add_entry(self, entry):
        self._add(canonical_entry(entry, self.vocabulary))

    def _add(self, form):
        self.hash.update(json.dumps(form, separators=(",", ":")).encode())
        self.hash.update(b"\n")

    def text(self):
        return self.hash.hexdigest()
