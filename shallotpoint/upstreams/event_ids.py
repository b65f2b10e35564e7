"""Ids of server-sent events, for streams that resume on another upstream."""

from __future__ import annotations

import re

from shallotpoint.decoding import parse_whole_number

_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_EVENT_END = b"\n\n"
_MAX_ID = (1 << 63) - 1  # larger ids count as no numbers


def last_event_id(events: bytes) -> bytes | None:
    """Return the id of the last event with an id, or None.

    Examples
    --------
    >>> last_event_id(b"id: 3\\ndata: a\\n\\nid: 4\\ndata: b\\n\\n")
    b'4'
    """
    position = events.rfind(b"id:")
    while position >= 0:
        if position == 0 or events[position - 1 : position] == b"\n":
            match = _ID_LINE.match(events, position)
            if match is not None:
                return match[1].strip()
        position = events.rfind(b"id:", 0, position)
    return None


def first_event_id(events: bytes) -> bytes | None:
    """Return the id of the first event with an id, or None."""
    match = _ID_LINE.search(events)
    return match[1].strip() if match else None


def continues_after(events: bytes, last_id: bytes) -> bool:
    """Return whether the first event directly follows the event with a given id.

    Ids that are not numbers cannot be compared; the events then count as
    following, as they do if none of them has an id.

    Examples
    --------
    >>> continues_after(b"id: 5\\ndata: c\\n\\n", b"4")
    True
    >>> continues_after(b"id: 6\\n\\n", b"4")
    False
    """
    first, last = _number(first_event_id(events) or b""), _number(last_id)
    return first is None or last is None or first == last + 1


def drop_sent_events(events: bytes, last_id: bytes) -> bytes:
    """Return whole events without those that were already sent.

    These are the events with a number up to ``last_id`` as their id.  If
    ``last_id`` is not a number, all events are returned.

    Examples
    --------
    >>> drop_sent_events(b"id: 4\\ndata: b\\n\\nid: 5\\ndata: c\\n\\n", b"4")
    b'id: 5\\ndata: c\\n\\n'
    """
    last = _number(last_id)
    if last is None:
        return events
    remaining = []
    for event in events.split(_EVENT_END):
        if not event:
            continue
        match = _ID_LINE.search(event)
        event_id = _number(match[1].strip()) if match else None
        if event_id is not None and event_id <= last:
            continue
        remaining.append(event + _EVENT_END)
    return b"".join(remaining)


def _number(event_id: bytes) -> int | None:
    return parse_whole_number(event_id.decode("latin-1"), limit=_MAX_ID)
