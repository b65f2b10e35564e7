"""Keeps the configuration in force up to date from the service and peers."""

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

WATCHERS = 3  # routers that watch the service; the others hear from peers
RETRY_S = 0.5
CHECK_S = 1.5  # a quiet watch is tested this often
REREAD_S = 30.0  # a watcher reads everything again, in case an event was lost
ALONE_AFTER_S = 4.0  # without contact, any router reads the service itself

_log = logging.getLogger(__name__)


class ConfigController:
    """Owns :class:`ConfigSection` and the service's side of the contacts."""

    def __init__(
        self,
        board: Blackboard,
        kv: KeyValue,
        store: ConfigStore,
        *,
        name: str,
        clock: Clock,
        rng: random.Random,
        on_news: Callable[[], None] = lambda: None,
    ):
        self._board = board
        self._kv = kv
        self._store = store
        self._name = name
        self._clock = clock
        self._rng = rng
        self._on_news = on_news
        self._write = board.claim(ConfigSection, "config")
        self._write_contact = board.claim(ContactSection, "config")

    @property
    def state(self) -> ConfigState:
        """The sections in force."""
        return self._board.get(ConfigSection).state

    def offer(self, sections: Sequence[Section]) -> None:
        """Take over sections that are newer than those in force."""
        state = self.state
        for section in sections:
            state = state.merged(section)
        if state is self.state:
            return
        items = {s.name: s.items for s in state.sections.values()}
        config = read_config(items, state.version)
        self._write(ConfigSection(state, config))
        _log.info("configuration in force", extra={"version": state.version})
        self._on_news()

    def heard_peer(self) -> None:
        """Note that a peer was heard."""
        contact = self._board.get(ContactSection)
        self._write_contact(replace(contact, peer_s=self._clock()))

    def watches(self) -> bool:
        """Return whether this router is one that watches the service."""
        routers = self._board.get(HostsSection).routers()
        return self._name in rank({*routers, self._name}, "config-watch")[:WATCHERS]

    async def run(self) -> None:
        """Follow the service while it is this router's turn, until cancelled."""
        while True:
            try:
                if self.watches() or self._is_alone():
                    await self._load()
                    await self._follow()
            except KeyValueError as exc:
                _log.warning("key-value service: %s", exc)
            await asyncio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    def _is_alone(self) -> bool:
        age_s = self._board.get(ContactSection).age_s(self._clock())
        return age_s is None or age_s > ALONE_AFTER_S or not self.state.version

    async def _load(self) -> None:
        state = await self._store.load()
        self._heard_kv()
        self.offer(list(state.sections.values()))

    async def _follow(self) -> None:
        """Watch for changes until it is no longer this router's turn."""
        started_s = self._clock()
        changes = self._kv.watch(self._store.prefix, self.state.version + 1)
        pending: asyncio.Future | None = None
        try:
            while self.watches() and self._clock() - started_s < REREAD_S:
                pending = pending or asyncio.ensure_future(anext(changes))
                done, _ = await asyncio.wait({pending}, timeout=CHECK_S)
                if not done:
                    await self._confirm()
                    continue
                entries = [c.entry for c in pending.result() if c.entry is not None]
                pending = None
                self._heard_kv()
                self.offer([self._store.section_of(entry) for entry in entries])
        except StopAsyncIteration:
            return
        finally:
            if pending is not None:
                pending.cancel()
                await asyncio.wait({pending})
            await changes.aclose()  # type: ignore[attr-defined]

    async def _confirm(self) -> None:
        """Read one section, as a quiet watch does not show that it works."""
        key = self._store.prefix + CLASSES
        entry = await self._kv.get(key)
        self._heard_kv()
        if entry is not None:
            self.offer([self._store.section_of(entry)])

    def _heard_kv(self) -> None:
        contact = self._board.get(ContactSection)
        self._write_contact(replace(contact, kv_s=self._clock()))


def is_ready(board: Blackboard, now: Seconds, *, alone_s: Seconds) -> bool:
    """Return whether a router may be sent work.

    It must be configured, not stopping, and have heard the service or a peer
    within ``alone_s`` seconds.
    """
    contact = board.get(ContactSection)
    age_s = contact.age_s(now)
    return (
        board.get(ConfigSection).state.version > 0
        and age_s is not None
        and age_s <= alone_s
    )
