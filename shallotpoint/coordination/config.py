"""Configuration in small sections that are changed by compare-and-swap.

Each section is one key.  Its revision, which the key-value service assigns and which
only grows, is the version by which copies are compared: a copy is never replaced by
an older one, whether it comes from the service or from a peer.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from shallotpoint.coordination.cas import CasCell, VersionedValue, decode_versioned
from shallotpoint.coordination.kv import Entry, KeyValue
from shallotpoint.types import Revision

MAX_CHANGE_ATTEMPTS = 8

Fields = Mapping[str, Any]


class ConfigConflict(Exception):
    """Another change to the same fields was stored first.

    Parameters
    ----------
    version : int
        Revision of the section with that change.
    name : str
        What was changed: a section, or an item as ``section/item``.
    """

    def __init__(self, version: Revision, name: str):
        self.version = version
        super().__init__(f"{name} was changed at version {version}")


@dataclass(frozen=True, slots=True)
class Section:
    """A copy of one section of the configuration.

    Attributes
    ----------
    revision : int
        Revision of the last change; 0 if the section is not stored.
    items : mapping of str to mapping
        Fields of each item, by the item's name.
    recent_change_ids : tuple of str
        Ids of the last changes, oldest first.
    """

    name: str
    revision: Revision = 0
    items: Mapping[str, Fields] = field(default_factory=dict)
    recent_change_ids: tuple[str, ...] = ()

    def to_versioned(self) -> VersionedValue:
        """Return the section as a :class:`CasCell` stores it."""
        body = msgspec.json.encode(self.items)
        return VersionedValue(self.revision, body, self.recent_change_ids)


def section_from_versioned(name: str, stored: VersionedValue) -> Section:
    """Return a section from the form in which a :class:`CasCell` stores it."""
    items = msgspec.json.decode(stored.body) if stored.body else {}
    return Section(name, stored.revision, items, stored.recent_change_ids)


@dataclass(frozen=True, slots=True)
class Edit:
    """A change to one item of a section.

    Attributes
    ----------
    fields : mapping or None
        The fields to set, or None to remove the item.
    """

    section: str
    item: str
    fields: Fields | None


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Copies of the known sections of the configuration.

    Examples
    --------
    >>> state = ConfigState()
    >>> state = state.merged(Section("pools", 5))
    >>> state.merged(Section("pools", 4)).version
    5
    """

    sections: Mapping[str, Section] = field(default_factory=dict)

    @property
    def version(self) -> Revision:
        """The highest revision of all sections; 0 if none is known."""
        return max((s.revision for s in self.sections.values()), default=0)

    def section(self, name: str) -> Section:
        """Return a section, or an empty one if it is not known."""
        return self.sections.get(name) or Section(name)

    def merged(self, section: Section) -> ConfigState:
        """Return the state with a section, unless its copy of it is as new or newer."""
        if section.revision <= self.section(section.name).revision:
            return self
        return ConfigState({**self.sections, section.name: section})


def apply_edit(section: Section, edit: Edit) -> Section:
    """Return the section with an edit applied, under its old revision."""
    items = dict(section.items)
    if edit.fields is None:
        items.pop(edit.item, None)
    else:
        items[edit.item] = {**items.get(edit.item, {}), **edit.fields}
    return replace(section, items=items)


def conflicts(edit: Edit, base: Section, stored: Section) -> bool:
    """Return whether an edit contradicts a change stored since its author's read.

    Parameters
    ----------
    edit : Edit
        The edit to store.
    base : Section
        The section as the author of the edit read it.
    stored : Section
        The section as it is stored now.
    """
    before = base.items.get(edit.item)
    after = stored.items.get(edit.item)
    if before == after:
        return False
    if edit.fields is None or after is None:
        return True
    before = before or {}
    return any(
        after.get(key) != before.get(key) and after.get(key) != value
        for key, value in edit.fields.items()
    )


class ConfigStore:
    """Reads and changes the sections of the configuration in a key-value service.

    Parameters
    ----------
    kv : KeyValue
        The service that stores the sections.
    prefix : str
        Prefix of the keys; a section's name follows it.
    rng : random.Random
        Source of change ids.

    Examples
    --------
    >>> import asyncio, time
    >>> from shallotpoint.coordination.memory_kv import MemoryKeyValue
    >>> kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
    >>> store = ConfigStore(kv, "/config/", rng=random.Random(2))
    >>> edit = Edit("classes", "counter", {"tier": 1})
    >>> section = asyncio.run(store.change(edit, ConfigState()))
    >>> section.items["counter"]
    {'tier': 1}
    """

    def __init__(self, kv: KeyValue, prefix: str, *, rng: random.Random):
        self._kv = kv
        self._prefix = prefix
        self._rng = rng

    @property
    def prefix(self) -> str:
        """Prefix of the keys of all sections."""
        return self._prefix

    def decode_section(self, entry: Entry) -> Section:
        """Decode a section from its stored entry."""
        name = entry.key.removeprefix(self._prefix)
        return section_from_versioned(name, decode_versioned(entry))

    async def load(self) -> ConfigState:
        """Return all stored sections."""
        listing = await self._kv.list_prefix(self._prefix)
        sections = [self.decode_section(entry) for entry in listing.entries]
        return ConfigState({s.name: s for s in sections})

    async def change(
        self,
        edit: Edit,
        base_state: ConfigState,
        *,
        validate: Callable[[Section], None] = lambda section: None,
    ) -> Section:
        """Store an edit, also if other fields of its section changed meanwhile.

        Parameters
        ----------
        edit : Edit
            The edit to store.
        base_state : ConfigState
            The configuration as the author of the edit read it.
        validate : Callable, optional
            Raises if the section after the edit is not allowed.

        Returns
        -------
        Section
            The section as stored, with its new revision.

        Raises
        ------
        ConfigConflict
            Others changed the same fields after ``base_state``, or each attempt lost
            to a concurrent change.
        ChangeOutcomeUnknown
            The write was sent, and each attempt to read it back failed.
        Unavailable
            Nothing was changed.
        """
        cell = CasCell(self._kv, self._prefix + edit.section, rng=self._rng)
        change_id = cell.new_change_id()
        base = base_state.section(edit.section)
        stored = base
        for _ in range(MAX_CHANGE_ATTEMPTS):
            if conflicts(edit, base, stored):
                raise ConfigConflict(stored.revision, f"{edit.section}/{edit.item}")
            edited = apply_edit(stored, edit)
            validate(edited)
            new_version = await cell.swap(
                stored.to_versioned(), edited.to_versioned().body, change_id
            )
            if new_version is not None:
                return section_from_versioned(edit.section, new_version)
            stored = section_from_versioned(edit.section, await cell.read())
        raise ConfigConflict(stored.revision, edit.section)
