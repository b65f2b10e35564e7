"""How many servers each pool has in each data centre, and of which kind.

The decision is a pure function of a frozen snapshot: the listed servers of both kinds,
the load of the last tens of seconds, prices, limits and the orders in progress.  It is
made for engines whose load swings with periods of about 17 s and may rise nearly
threefold within a second, while a new server takes seconds to boot.

Reclaimable servers cost a fraction of on-demand ones and the work of callers is worth
far more than either, so numbers rise at once and fall slowly.  On-demand servers are
given up only after reclaimable ones serve in their place, and never below the number
that must carry the load when all reclaimable servers of one data centre are reclaimed.

See ``docs/design/server-counts.md`` for the figures and the alternatives.
"""

from shallotpoint.scaling.decision import decide
from shallotpoint.scaling.load import LoadWindow
from shallotpoint.scaling.model import (
    DataCentre,
    LoadSummary,
    ServerKind,
    ServerOrder,
    Servers,
    Snapshot,
)

__all__ = [
    "DataCentre",
    "LoadSummary",
    "LoadWindow",
    "ServerKind",
    "ServerOrder",
    "Servers",
    "Snapshot",
    "decide",
]
