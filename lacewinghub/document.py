"""Tables as a compressed JSON document, written and read in slices.

A slice has ``SLICE_ENTRIES`` entries of a table. Neither direction holds the whole document as
text or as JSON objects: the memory of a slice is used again for the next one.
"""

import codecs
import json
import re
import zlib
from collections.abc import Iterator
from functools import partial
from itertools import islice
from typing import Any

from pydantic import TypeAdapter, ValidationError

from ._steps import Steps, at_once
from ._validation import tables_invalid
from .errors import TablesInvalid
from .tables import CLAIMS, TABLE_NAMES, ClaimSettings, Draft, Pool, Route, Tables, Workspace

# Tables of 13,000 workspaces with a route each have 5 MB.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
SLICE_ENTRIES = 500
PIECE_BYTES = 64 * 1024  # Largest piece of text that is decompressed in one step.
INPUT_BYTES = 16 * 1024  # Largest piece of compressed data that is read in one step.
# Changing to a thread and back takes longer than compressing this much.
THREAD_BYTES = 8 * 1024
LEVEL = 1
# More text than the longest beginning of a table that the reader accepts.
MAX_BEGINNING = 256

_LISTS: dict[str, TypeAdapter[Any]] = {
    "routes": TypeAdapter(list[Route]),
    "pools": TypeAdapter(list[Pool]),
    "workspaces": TypeAdapter(list[Workspace]),
    # A list of one entry, so that the reader meets lists only; left out for the default.
    CLAIMS: TypeAdapter(list[ClaimSettings]),
}
_SPACE = re.compile(r"[ \t\n\r]*")
_START = re.compile(r"\{")
# Bounded, so that what is accepted does not depend on how the text is cut into pieces.
_TABLE = re.compile(r'(,?)\s{0,32}"(\w{1,64})"\s{0,32}:\s{0,32}\[')
_END = re.compile(r"\}")
_NEXT = re.compile(r",")
_CLOSE = re.compile(r"\]")
_DECODER = json.JSONDecoder()


def write_steps(tables: Tables) -> Steps[bytes]:
    """Write tables as a compressed JSON document, in steps.

    Tables never change, so the document is of one version whatever happens between two steps.
    """
    press = zlib.compressobj(LEVEL)
    parts: list[bytes] = []
    for text in _slices(tables):
        if len(text) < THREAD_BYTES:
            yield None
            parts.append(press.compress(text))
        else:
            parts.append((yield partial(press.compress, text)))
    parts.append(press.flush())
    return b"".join(parts)


def read_steps(data: bytes, version: int) -> Steps[Tables]:
    """Read the tables that ``write_steps`` wrote, in steps.

    Args:
        data: The compressed JSON document.
        version: Version of the tables.

    Raises:
        TablesInvalid: If the document is damaged, incomplete or too large, or the tables are wrong.
    """
    source, text, draft = _Source(data), _Text(), Draft(Tables())
    counts = dict.fromkeys(_LISTS, 0)
    while not source.ended:
        if len(data) < THREAD_BYTES:
            yield None
            piece = source.read()
        else:
            piece = yield source.read
        text.add(piece, source.ended)
        while items := text.take():
            entries = _validate(text.table, items, counts[text.table])
            counts[text.table] += len(items)
            if text.table != CLAIMS:
                draft.insert(text.table, entries)
            elif counts[CLAIMS] > 1:
                raise TablesInvalid(f"{CLAIMS}: more than one entry", place=CLAIMS)
            else:
                draft.set_claims(entries[0])
            yield None
    text.check_end()
    for _ in draft.check(SLICE_ENTRIES):
        yield None
    return draft.build(version)


def pack_document(tables: Tables) -> bytes:
    """Write tables as a compressed JSON document at once."""
    return at_once(write_steps(tables))


def unpack_document(data: bytes, version: int = 0) -> Tables:
    """Read the tables that ``pack_document`` wrote at once.

    Raises:
        TablesInvalid: If the document is damaged, incomplete or too large, or the tables are wrong.
    """
    return at_once(read_steps(data, version))


def _slices(tables: Tables) -> Iterator[bytes]:
    lists = [(table, list(getattr(tables, table).values())) for table in TABLE_NAMES]
    if tables.claims != ClaimSettings():
        lists.append((CLAIMS, [tables.claims]))
    for number, (table, items_of) in enumerate(lists):
        entries = iter(items_of)
        head = f'{", " if number else "{"}"{table}": ['
        while items := list(islice(entries, SLICE_ENTRIES)):
            yield (head + json.dumps(_LISTS[table].dump_python(items))[1:-1]).encode()
            head = ", "
        yield b"]" if head == ", " else f"{head}]".encode()
    yield b"}"


def _validate(table: str, items: list[Any], start: int) -> list[Any]:
    try:
        found: list[Any] = _LISTS[table].validate_python(items)
    except ValidationError as exc:
        raise tables_invalid(exc, table, start=start) from exc
    return found


class _Source:
    """Decompresses a document in pieces."""

    def __init__(self, data: bytes) -> None:
        self.ended = False
        self._data = memoryview(data)
        self._at = 0
        self._size = 0
        self._reader = zlib.decompressobj()
        self._utf8 = codecs.getincrementaldecoder("utf-8")()

    def read(self) -> str:
        """Return the next piece of text, at most ``PIECE_BYTES`` long."""
        rest: bytes | memoryview = self._reader.unconsumed_tail
        if not rest:
            rest = self._data[self._at : self._at + INPUT_BYTES]
            self._at += len(rest)
        try:
            piece = self._reader.decompress(rest, PIECE_BYTES)
            self.ended = self._reader.eof
            self._size += len(piece)
            if self._size > MAX_DOCUMENT_BYTES or not (piece or rest or self.ended):
                raise TablesInvalid("the document is incomplete or too large")
            return self._utf8.decode(piece, self.ended)
        except (zlib.error, UnicodeDecodeError) as exc:
            raise TablesInvalid(f"the document is damaged: {exc}") from exc


class _Text:
    """Splits the text of a document into its entries as it arrives.

    Attributes:
        table: Table of the entries that were taken last.
    """

    def __init__(self) -> None:
        self.table = ""
        self._text = ""
        self._at = 0
        self._ended = False
        self._expected = "start"
        self._seen: set[str] = set()
        self._enough = 0

    def add(self, piece: str, ended: bool) -> None:
        """Append the next piece of text."""
        self._text = self._text[self._at :] + piece
        self._at = 0
        self._ended = ended

    def take(self) -> list[Any]:
        """Return the next entries of one table, or nothing if the text must grow first."""
        items: list[Any] = []
        while len(items) < SLICE_ENTRIES and not (items and self._expected == "member"):
            if self._expected == "first" and self._pass(_CLOSE):
                self._expected = "member"
            elif self._expected in ("first", "entry"):
                item = self._entry()
                if item is None:
                    break
                items.append(item)
                self._expected = "next"
            elif not self._between():
                break
        return items

    def check_end(self) -> None:
        """Check that the document is complete and has all tables."""
        if self._expected != "end" or self._text[self._at :].strip():
            raise TablesInvalid("the document is damaged: it does not end after its tables")
        missing = [table for table in TABLE_NAMES if table not in self._seen]
        if missing:
            raise TablesInvalid(f"{missing[0]}: Field required", place=missing[0])

    def _between(self) -> bool:
        """Pass the text up to the next entry; return False if it is not there yet."""
        if self._expected == "start" and self._pass(_START):
            self._expected = "member"
        elif self._expected == "member" and (found := self._pass(_TABLE)):
            self._open(found[2], bool(found[1]))
        elif self._expected == "member" and self._pass(_END):
            self._expected = "end"
        elif self._expected == "next" and self._pass(_NEXT):
            self._expected = "entry"
        elif self._expected == "next" and self._pass(_CLOSE):
            self._expected = "member"
        else:
            if self._expected != "end" and len(self._text) - self._at > MAX_BEGINNING:
                raise TablesInvalid("the document is damaged: it is no JSON object of tables")
            return False
        return True

    def _open(self, table: str, comma: bool) -> None:
        if table not in _LISTS or table in self._seen or comma != bool(self._seen):
            raise TablesInvalid(f"{table}: unexpected member of the document", place=table)
        self._seen.add(table)
        self.table = table
        self._expected = "first"

    def _entry(self) -> Any:
        """Return the next entry, or None if its text is not complete."""
        self._pass(_SPACE)
        start = self._at
        if start < len(self._text) and self._text[start] != "{":
            raise TablesInvalid(f"{self.table}: an entry is no JSON object", place=self.table)
        if len(self._text) - start < self._enough and not self._ended:
            return None
        try:
            item, self._at = _DECODER.raw_decode(self._text, start)
        except RecursionError as exc:
            raise TablesInvalid("the document is damaged: an entry is nested too deep") from exc
        except ValueError as exc:
            if self._ended:
                raise TablesInvalid(f"the document is damaged: {exc}") from exc
            # Each attempt reads the entry from its start; doubling keeps their sum linear.
            self._enough = 2 * (len(self._text) - start)
            return None
        self._enough = 0
        return item

    def _pass(self, pattern: re.Pattern[str]) -> re.Match[str] | None:
        """Pass white space and then a pattern, if the text goes on with it."""
        space = _SPACE.match(self._text, self._at)
        self._at = space.end() if space else self._at
        found = pattern.match(self._text, self._at)
        if found:
            self._at = found.end()
        return found
