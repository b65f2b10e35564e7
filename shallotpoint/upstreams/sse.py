"""Server-sent events of chat completions, relayed without parsing each.

Only whole events are passed on.  Tokens are counted by a pattern; the text is
read from the events in batches, for answers that may have to be carried on.
"""

from __future__ import annotations

import re

import msgspec

DONE = b"data: [DONE]"
FOLD_BYTES = 16 << 10  # relayed events are reduced to their text at this size
_SEPARATOR = b"\n\n"
_TOKEN = re.compile(rb'"(?:content|reasoning_content|arguments)":\s?"[^"]')


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


_decoder = msgspec.json.Decoder(_Chunk)


def count_tokens(events: bytes) -> int:
    """Return how many events carry generated text."""
    return len(_TOKEN.findall(events))


def ends_stream(events: bytes) -> bool:
    """Return whether the closing event is among whole events."""
    # Line feeds are escaped inside JSON, so no answer text can look like this.
    return events.startswith(DONE) or b"\n" + DONE in events


def text_of(events: bytes) -> str:
    """Return the text that whole events carry; malformed events are skipped."""
    parts = []
    for line in events.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        try:
            chunk = _decoder.decode(line[6:])
        except msgspec.DecodeError:
            continue
        parts += [c.delta.content for c in chunk.choices if c.delta.content]
    return "".join(parts)


class EventSplitter:
    """Cuts a byte stream into whole events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: 1\\n\\ndata: 2"), splitter.feed(b"\\n\\n")
    (b'data: 1\\n\\n', b'data: 2\\n\\n')
    """

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now whole."""
        if not self._tail and data.endswith(_SEPARATOR):
            return data
        data = self._tail + data
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._tail = data
            return b""
        end += len(_SEPARATOR)
        self._tail = data[end:]
        return data[:end]


class DeliveredText:
    """The text that a caller has been sent so far, kept in little memory."""

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._events: list[bytes] = []
        self._size = 0

    def add(self, events: bytes) -> None:
        """Note events that were sent to the caller."""
        self._events.append(events)
        self._size += len(events)
        if self._size >= FOLD_BYTES:
            self._fold()

    def text(self) -> str:
        """Return all text so far."""
        self._fold()
        return "".join(self._parts)

    def _fold(self) -> None:
        if self._events:
            self._parts.append(text_of(b"".join(self._events)))
            self._events.clear()
            self._size = 0
