"""Server-sent events of chat completions, relayed without parsing each event.

Only whole events are relayed.  Tokens are counted with a regular expression.  For
completions that may have to resume on another upstream, the events are decoded to
text in batches.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.results import Result
from shallotpoint.upstreams.client import UpstreamFailure

DONE = b"data: [DONE]"
DECODE_BATCH_BYTES = 16 << 10  # buffered events are decoded at this size
_EVENT_END = b"\n\n"
_TOKEN_FIELD = re.compile(rb'"(?:content|reasoning_content|arguments)":\s?"[^"]')


class _Delta(msgspec.Struct):
    content: str | None = None
    reasoning_content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: dict[str, Any] | None = None


_decoder = msgspec.json.Decoder(_Chunk)


def count_tokens(events: bytes) -> int:
    """Return the number of generated tokens.

    Each non-empty field with text or tool arguments counts as one token.
    """
    return len(_TOKEN_FIELD.findall(events))


def has_done_event(events: bytes) -> bool:
    """Return whether the final ``[DONE]`` event is among whole events."""
    # JSON escapes line feeds, so generated text cannot contain this sequence.
    return events.startswith(DONE) or b"\n" + DONE in events


def extract_text(events: bytes) -> str:
    """Return the generated text in whole events; malformed events are skipped."""
    chunks = _decode_chunks(events)
    return "".join(c.delta.content or "" for chunk in chunks for c in chunk.choices)


def _decode_chunks(events: bytes) -> Iterator[_Chunk]:
    for line in events.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        try:
            yield _decoder.decode(line[6:])
        except DECODE_ERRORS:
            continue


MAX_EVENT_BYTES = 256 << 10  # many times the largest event of an engine


class EventSplitter:
    """Splits a byte stream into whole events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: 1\\n\\ndata: 2"), splitter.feed(b"\\n\\n")
    (b'data: 1\\n\\n', b'data: 2\\n\\n')
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises
        ------
        UpstreamFailure
            An incomplete event is larger than ``MAX_EVENT_BYTES``.
        """
        if not self._buffer and data.endswith(_EVENT_END):
            return data
        search_from = max(0, len(self._buffer) - len(_EVENT_END) + 1)
        self._buffer += data
        end = self._buffer.rfind(_EVENT_END, search_from)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise UpstreamFailure(
                    Result.RETRY_BROKE, "server-sent event is too large"
                )
            return b""
        end += len(_EVENT_END)
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        return whole

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer


class CompletionAccumulator:
    """Accumulates the content of a completion's events.

    Buffered events are decoded in batches, so that little more than their text is
    kept in memory.
    """

    def __init__(self) -> None:
        self._text_parts: list[str] = []
        self._reasoning_parts: list[str] = []
        self._finish_reason: str | None = None
        self._usage: dict[str, Any] | None = None
        self._buffered_events: list[bytes] = []
        self._buffered_bytes = 0

    def add(self, events: bytes) -> None:
        """Add whole events."""
        self._buffered_events.append(events)
        self._buffered_bytes += len(events)
        if self._buffered_bytes >= DECODE_BATCH_BYTES:
            self._decode_buffered()

    def text(self) -> str:
        """Return the generated text so far."""
        self._decode_buffered()
        return "".join(self._text_parts)

    def reasoning(self) -> str:
        """Return the reasoning text so far, which engines send in its own field."""
        self._decode_buffered()
        return "".join(self._reasoning_parts)

    def finish_reason(self) -> str | None:
        """Return the finish reason, or None before the completion has ended."""
        self._decode_buffered()
        return self._finish_reason

    def usage(self) -> dict[str, Any] | None:
        """Return the last token usage that the engine reported, or None."""
        self._decode_buffered()
        return self._usage

    def _decode_buffered(self) -> None:
        if not self._buffered_events:
            return
        for chunk in _decode_chunks(b"".join(self._buffered_events)):
            self._usage = chunk.usage or self._usage
            for choice in chunk.choices:
                self._text_parts.append(choice.delta.content or "")
                self._reasoning_parts.append(choice.delta.reasoning_content or "")
                self._finish_reason = choice.finish_reason or self._finish_reason
        self._text_parts = ["".join(self._text_parts)]
        self._reasoning_parts = ["".join(self._reasoning_parts)]
        self._buffered_events.clear()
        self._buffered_bytes = 0
