"""Reading the entries of a list, each by itself.

Anyone may write an entry, so one that cannot be read or applied must not keep the
others from taking effect.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator

from shallotpoint.decoding import DECODE_ERRORS

_log = logging.getLogger("shallotpoint.router")


class UnreadableEntry(Exception):
    """An entry cannot be read; the message says why."""


@contextlib.contextmanager
def skipping_unreadable(entry: str) -> Iterator[None]:
    """Log what is wrong with an entry, so that the caller can go on with the next one.

    Errors that its reader does not name are logged with their traceback.

    Parameters
    ----------
    entry : str
        Name or key of the entry that is read and applied in the ``with`` block.
    """
    try:
        yield
    except (UnreadableEntry, *DECODE_ERRORS) as exc:
        _log.warning("unreadable entry", extra={"entry": entry, "reason": str(exc)})
    except Exception:
        _log.exception("entry not applied", extra={"entry": entry})
