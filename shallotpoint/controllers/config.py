"""Keeps the configuration up to date, from the key-value service and from peers."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import (
    ConfigSection,
    ContactSection,
    HostsSection,
)
from shallotpoint.coordination.config import ConfigState, ConfigStore, Section
from shallotpoint.coordination.kv import KeyValue, KeyValueError
from shallotpoint.coordination.overlay import rank
from shallotpoint.policy.configuration import CLASSES, read_config
from shallotpoint.types import Clock, Seconds

WATCHER_COUNT = 3  # routers that watch the service; the others learn changes from peers
RETRY_INTERVAL_S = 0.5
WATCH_CHECK_INTERVAL_S = 1.5  # a watch without events is checked after this time
RELOAD_INTERVAL_S = 30.0  # a watcher reloads all sections, as it may have lost an event
ISOLATED_AFTER_S = 4.0  # without contact for this long, any router reads the service

_log = logging.getLogger(__name__)


class ConfigController:
    """Owns :class:`ConfigSection` and :class:`ContactSection`.

    A few routers watch the key-value service for changes and pass them on to peers;
    the others read it only when they have lost contact with both.  Used by
    :mod:`shallotpoint.daemons.router`.

    Parameters
    ----------
    store : ConfigStore
        The configuration in the key-value service.
    name : str
        Name of this router.
    notify_peers : Callable
        Called when there is a new configuration that peers should learn of soon.
    """

    def __init__(
        self,
        board: Blackboard,
        kv: KeyValue,
        store: ConfigStore,
        *,
        name: str,
        clock: Clock,
        rng: random.Random,
        notify_peers: Callable[[], None] = lambda: None,
    ):
        self._board = board
        self._kv = kv
        self._store = store
        self._name = name
        self._clock = clock
        self._rng = rng
        self._notify_peers = notify_peers
        self._write = board.claim(ConfigSection, "config")
        self._write_contact = board.claim(ContactSection, "config")

    @property
    def state(self) -> ConfigState:
        """The current configuration sections with their versions."""
        return self._board.get(ConfigSection).state

    def merge_sections(self, sections: Sequence[Section]) -> None:
        """Apply the sections that are newer than the current ones."""
        state = self.state
        for section in sections:
            state = state.merged(section)
        if state is self.state:
            return
        items = {s.name: s.items for s in state.sections.values()}
        config = read_config(items, state.version)
        self._write(ConfigSection(state, config))
        _log.info("configuration in force", extra={"version": state.version})
        self._notify_peers()

    def record_peer_contact(self) -> None:
        """Record the time of contact with a peer."""
        contact = self._board.get(ContactSection)
        self._write_contact(replace(contact, peer_contact_at_s=self._clock()))

    def is_watcher(self) -> bool:
        """Return whether this router is among those that watch the service."""
        routers = self._board.get(HostsSection).routers()
        return (
            self._name in rank({*routers, self._name}, "config-watch")[:WATCHER_COUNT]
        )

    async def run(self) -> None:
        """Follow the service while this router has to, until cancelled.

        It has to if it is a watcher, has no contact, or has no configuration yet.
        """
        while True:
            try:
                if self.is_watcher() or self._is_isolated():
                    await self._load()
                    await self._watch()
            except KeyValueError as exc:
                _log.warning(
                    "cannot read configuration from key-value service: %s", exc
                )
            await asyncio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    def _is_isolated(self) -> bool:
        """Return whether contact was lost or there is no configuration yet."""
        age_s = self._board.get(ContactSection).age_s(self._clock())
        return age_s is None or age_s > ISOLATED_AFTER_S or not self.state.version

    async def _load(self) -> None:
        """Read all sections from the key-value service."""
        state = await self._store.load()
        self._record_kv_contact()
        self.merge_sections(list(state.sections.values()))

    async def _watch(self) -> None:
        """Watch for changes until it is time to reload, or others are the watchers."""
        started_s = self._clock()
        changes = self._kv.watch(self._store.prefix, self.state.version + 1)
        next_change: asyncio.Future | None = None
        try:
            while self.is_watcher() and self._clock() - started_s < RELOAD_INTERVAL_S:
                next_change = next_change or asyncio.ensure_future(anext(changes))
                done, _ = await asyncio.wait(
                    {next_change}, timeout=WATCH_CHECK_INTERVAL_S
                )
                if not done:
                    await self._check_service()
                    continue
                entries = [c.entry for c in next_change.result() if c.entry is not None]
                next_change = None
                self._record_kv_contact()
                self.merge_sections(
                    [self._store.decode_section(entry) for entry in entries]
                )
        except StopAsyncIteration:
            return
        finally:
            if next_change is not None:
                next_change.cancel()
                await asyncio.wait({next_change})
            await changes.aclose()  # type: ignore[attr-defined]

    async def _check_service(self) -> None:
        """Read one section, as a watch without events may be broken."""
        key = self._store.prefix + CLASSES
        entry = await self._kv.get(key)
        self._record_kv_contact()
        if entry is not None:
            self.merge_sections([self._store.decode_section(entry)])

    def _record_kv_contact(self) -> None:
        contact = self._board.get(ContactSection)
        self._write_contact(replace(contact, kv_contact_at_s=self._clock()))


def is_ready(board: Blackboard, now: Seconds, *, max_contact_age_s: Seconds) -> bool:
    """Return whether a router is configured and in contact with others.

    Parameters
    ----------
    max_contact_age_s : float
        Maximum time since the last contact with the key-value service or a peer, in
        seconds.
    """
    contact = board.get(ContactSection)
    age_s = contact.age_s(now)
    return (
        board.get(ConfigSection).state.version > 0
        and age_s is not None
        and age_s <= max_contact_age_s
    )
