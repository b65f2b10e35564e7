"""The operators' configuration as a typed object, and its validation."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any

from shallotpoint.hashing import hash64
from shallotpoint.policy.model import (
    LOWEST_TIER,
    BranchException,
    Organisation,
    Pool,
    PoolKind,
    ServiceClass,
)
from shallotpoint.policy.routes import Routing
from shallotpoint.types import Revision

SHARDS = 64  # sections for the organisations, and as many for the exceptions

CLASSES = "classes"
POOLS = "pools"
DRAINS = "drains"
ORDERS = "orders"
EXCEPTIONS = "exceptions"
ORGANISATIONS = "organisations"


class InvalidConfig(Exception):
    """Raised for an invalid configuration; the message tells how to correct it."""


@dataclass(frozen=True, slots=True)
class UpstreamOrder:
    """An operator's order to an engine to load or unload a model, or to change a role.

    Attributes
    ----------
    kind : str
        ``load``, ``unload``, ``adapter`` or ``role``.
    """

    name: str
    upstream: str
    kind: str
    model: str = ""
    value: str = ""


@dataclass(frozen=True, slots=True)
class Config:
    """The operators' whole configuration at one version."""

    version: Revision = 0
    classes: Mapping[str, ServiceClass] = field(default_factory=dict)
    exceptions: Mapping[str, BranchException] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    orders: Mapping[str, UpstreamOrder] = field(default_factory=dict)
    routing: Routing = field(default_factory=Routing)

    def pool_for_model(self, model: str) -> Pool | None:
        """Return the engine pool that serves a model, or None."""
        for pool in self.pools.values():
            if pool.kind is PoolKind.ENGINE and model in pool.models:
                return pool
        return None

    def class_for(self, name: str, branch: str | None) -> ServiceClass:
        """Return a class with the exception of a branch, if there is one.

        Raises
        ------
        KeyError
            If there is no such class.
        """
        cls = self.classes[name]
        exception = self.exceptions.get(f"{branch}/{name}") if branch else None
        return exception.apply_to(cls) if exception else cls


def section_name(kind: str, item: str) -> str:
    """Return the name of the section that stores an item of a kind."""
    if kind not in (EXCEPTIONS, ORGANISATIONS):
        return kind
    shard = hash64(item) % SHARDS
    return f"{kind}-{shard:02d}"


def read_config(
    items_by_section: Mapping[str, Mapping[str, Mapping[str, Any]]],
    version: Revision,
) -> Config:
    """Build the configuration from the stored items of all sections."""
    items_by_kind: dict[str, dict[str, Any]] = {
        kind: {} for kind in (CLASSES, POOLS, EXCEPTIONS, ORGANISATIONS, ORDERS)
    }
    drained: set[str] = set()
    for section, items in items_by_section.items():
        kind = section.partition("-")[0]
        if kind == DRAINS:
            drained.update(items)
        elif kind in items_by_kind:
            for name, values in items.items():
                items_by_kind[kind][name] = _READ_BY_KIND[kind](name, values)
    return Config(
        version=version,
        classes=items_by_kind[CLASSES],
        exceptions=items_by_kind[EXCEPTIONS],
        pools=items_by_kind[POOLS],
        organisations=items_by_kind[ORGANISATIONS],
        drained=frozenset(drained),
        orders=items_by_kind[ORDERS],
    )


def _known_fields(cls: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the values of fields that the class has, with lists as tuples.

    A newer version of the program may have stored others, which are dropped.
    """
    names = {f.name for f in fields(cls)} - {"name"}
    return {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in values.items()
        if key in names
    }


def _read_class(name: str, values: Mapping[str, Any]) -> ServiceClass:
    return ServiceClass(name, **_known_fields(ServiceClass, values))


def _read_pool(name: str, values: Mapping[str, Any]) -> Pool:
    known = _known_fields(Pool, values)
    known["kind"] = PoolKind(known.get("kind", PoolKind.ENGINE))
    return Pool(name, **known)


def _read_exception(name: str, values: Mapping[str, Any]) -> BranchException:
    branch, _, cls = name.rpartition("/")
    overrides = tuple(sorted(_known_fields(ServiceClass, values).items()))
    return BranchException(branch, cls, overrides)


def _read_organisation(name: str, values: Mapping[str, Any]) -> Organisation:
    return Organisation(name, **_known_fields(Organisation, values))


def _read_order(name: str, values: Mapping[str, Any]) -> UpstreamOrder:
    return UpstreamOrder(name, **_known_fields(UpstreamOrder, values))


_READ_BY_KIND = {
    CLASSES: _read_class,
    POOLS: _read_pool,
    EXCEPTIONS: _read_exception,
    ORGANISATIONS: _read_organisation,
    ORDERS: _read_order,
}


def validate(config: Config) -> None:
    """Raise InvalidConfig for the first problem of a configuration."""
    for problem in _problems(config):
        raise InvalidConfig(problem)


def _problems(config: Config) -> Iterable[str]:
    yield from _class_problems(config)
    yield from _pool_problems(config)
    for exception in config.exceptions.values():
        if exception.service_class not in config.classes:
            yield (
                f"exception {exception.name} names the unknown class "
                f"{exception.service_class!r}; set that class first"
            )
            continue
        changed = config.class_for(exception.service_class, exception.branch)
        yield from _one_class_problems(changed, f"exception {exception.name}")
    for organisation in config.organisations.values():
        yield from _organisation_problems(organisation, config)


def _class_problems(config: Config) -> Iterable[str]:
    for cls in config.classes.values():
        yield from _one_class_problems(cls, f"class {cls.name}")
    total = sum(cls.share for cls in config.classes.values())
    if total > 1.0 + 1e-9:
        yield f"the shares of all classes are {total:.0%}; keep them within 100%"


def _one_class_problems(cls: ServiceClass, subject: str) -> Iterable[str]:
    if not 1 <= cls.tier <= LOWEST_TIER:
        yield f"{subject}: tier {cls.tier} is not allowed; use 1 to {LOWEST_TIER}"
    if not 0.0 <= cls.share <= 1.0:
        yield f"{subject}: share {cls.share:.0%} is not allowed; use 0% to 100%"
    if cls.protected and cls.share <= 0.0:
        yield f"{subject}: protected needs a share; set share=5% or more"
    for name in ("ttft_s", "tbt_s", "deadline_s", "max_wait_s"):
        value = getattr(cls, name)
        if value is not None and value <= 0:
            yield f"{subject}: {name[:-2]} must be above 0, not {value:g}s"
    if cls.max_queued < 1 or cls.max_queued_bytes < 1:
        yield f"{subject}: the bounds of its queue must be at least 1"


def _pool_problems(config: Config) -> Iterable[str]:
    served: dict[str, str] = {}
    for pool in config.pools.values():
        if not pool.upstreams:
            yield f"pool {pool.name} has no upstreams; name at least one"
        if pool.slots < 1:
            yield f"pool {pool.name}: slots={pool.slots} is not allowed; use 1 or more"
        if pool.kind is PoolKind.ENGINE and not pool.models:
            yield f"pool {pool.name} serves no model; set models=NAME"
        for model in pool.models:
            if model in served:
                yield f"model {model!r} is in the pools {served[model]}, {pool.name}"
            served[model] = pool.name


def _organisation_problems(org: Organisation, config: Config) -> Iterable[str]:
    unknown = [name for name in org.classes if name not in config.classes]
    if unknown:
        yield f"organisation {org.name} names the unknown class {unknown[0]!r}"
    if org.default_class and org.default_class not in org.classes:
        yield (
            f"organisation {org.name}: the default {org.default_class!r} "
            "is not among its classes"
        )
    if not org.key_hash:
        yield f"organisation {org.name} has no key; set key=SECRET"
