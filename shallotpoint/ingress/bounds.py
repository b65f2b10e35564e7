"""Sizes of the bounds on what clients make a process hold."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from shallotpoint.ingress.memory import CallerMemory
from shallotpoint.upstreams.body_memory import DEFAULT_TOTAL_BYTES

# A router with a small configuration takes 50 MB without requests.
PROCESS_BYTES = 80 << 20
# A body is copied as it is joined and as it is sent on: 40 of 4 MiB took 2.3 times
# their size, and with half of the free memory a router of 160 MB reached 152 MB.
CALLER_SHARE = 0.4
ANSWER_SHARE = 0.25
MIN_CALLER_BYTES = 16 << 20  # a few of the largest bodies, on any host
UNKNOWN_CALLER_BYTES = 1 << 30
FILES = 200  # descriptors that the platform reserves
OWN_DESCRIPTORS = 100  # for the store, peers, listeners and other addresses
MIN_CONNECTIONS = 32
UNKNOWN_CONNECTIONS = 1 << 16
SERVICE_CONNECTIONS = 24  # at readiness and at metrics, each


@dataclass(frozen=True, slots=True)
class HostBounds:
    """Bounds that follow from a host's limits; 0 if a limit is not known.

    Examples
    --------
    >>> bounds = HostBounds.for_host(memory_mb=160, descriptors=1_638)
    >>> bounds.caller_bytes >> 20, bounds.answer_bytes >> 20, bounds.connections
    (32, 20, 669)
    """

    caller_bytes: int = UNKNOWN_CALLER_BYTES
    answer_bytes: int = DEFAULT_TOTAL_BYTES
    connections: int = UNKNOWN_CONNECTIONS
    service_connections: int = UNKNOWN_CONNECTIONS

    @classmethod
    def for_host(cls, *, memory_mb: float, descriptors: float) -> HostBounds:
        """Return the bounds of a host.

        Half of the free descriptors is left for connections to upstreams.
        """
        bounds = cls()
        caller_bytes, answer_bytes = bounds.caller_bytes, bounds.answer_bytes
        connections = service_connections = UNKNOWN_CONNECTIONS
        if memory_mb:
            free_bytes = max(0, int(memory_mb * (1 << 20)) - PROCESS_BYTES)
            caller_bytes = max(MIN_CALLER_BYTES, int(free_bytes * CALLER_SHARE))
            answer_bytes = min(
                answer_bytes,
                max(MIN_CALLER_BYTES, int(free_bytes * ANSWER_SHARE)),
            )
        if descriptors:
            free = int(descriptors) - FILES - OWN_DESCRIPTORS
            connections = max(MIN_CONNECTIONS, free // 2)
            service_connections = SERVICE_CONNECTIONS
        return cls(caller_bytes, answer_bytes, connections, service_connections)


def _ignore(reason: str) -> None:
    pass


@dataclass(slots=True)
class Ingress:
    """What all listeners of a process share.

    Attributes
    ----------
    on_refusal : Callable
        Called with the reason whenever a listener refuses something.
    """

    bounds: HostBounds = HostBounds()
    on_refusal: Callable[[str], None] = _ignore
    memory: CallerMemory = field(init=False)

    def __post_init__(self) -> None:
        self.memory = CallerMemory(total_bytes=self.bounds.caller_bytes)
