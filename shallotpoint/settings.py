"""Settings of one router, read from a TOML file and checked as a whole."""

from __future__ import annotations

import ipaddress
import logging
import math
import tomllib
import types
import typing
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Any, TypeVar

from shallotpoint.errors import SettingError
from shallotpoint.types import Seconds

T = TypeVar("T")

_log = logging.getLogger("shallotpoint.router")


def _setting(check: Callable[[Any], str | None], **kwargs: Any) -> Any:
    """Declare a setting; ``check`` returns what is allowed if a value is not."""
    return field(metadata={"check": check}, **kwargs)


def _address(value: str) -> str | None:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if port.isdigit() and int(port) < 65_536:
            return None
    except ValueError:
        pass
    return "an IP number and a port, such as 10.0.0.1:8080"


def _url(value: str) -> str | None:
    if value.startswith(("http://", "https://")):
        return None
    return "a URL that starts with http:// or https://"


def _label(value: str) -> str | None:
    if value and len(value) <= 64 and all(c.isalnum() or c in "-_." for c in value):
        return None
    return "1 to 64 letters, digits, dots, hyphens or underscores"


def _positive(value: float) -> str | None:
    return None if 0 < value < math.inf else "a number above 0"


def _not_negative(value: float) -> str | None:
    return None if 0 <= value < math.inf else "a number from 0 up"


def _sha256(value: str) -> str | None:
    if len(value) == 64 and all(c in "0123456789abcdef" for c in value):
        return None
    return "the SHA-256 of the token, as 64 lower-case hexadecimal digits"


def _role(value: str) -> str | None:
    return None if value in ("read", "change") else "read or change"


def _level(value: str) -> str | None:
    levels = ("debug", "info", "warning", "error")
    return None if value in levels else ", ".join(levels)


def _secret(value: str) -> str | None:
    return None if len(value) >= 16 else "a secret of at least 16 characters"


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Who and where this router is."""

    name: str = _setting(_label)
    data_centre: str = _setting(_label)


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses that this router listens on."""

    callers: str = _setting(_address)
    operators: str = _setting(_address)
    peers: str = _setting(_address)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's services; ``prefix`` starts all keys of this system."""

    kv: str = _setting(_url)
    hosts: str = _setting(_url)
    prefix: str = "/shallotpoint/"
    host_poll_s: Seconds = _setting(_positive, default=1.0)
    host_lag_s: Seconds = _setting(_not_negative, default=3.0)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Talk among routers."""

    key: str = _setting(_secret)
    gossip_s: Seconds = _setting(_positive, default=0.25)


@dataclass(frozen=True, slots=True)
class OperatorToken:
    """One operator's token, as a hash, and what it permits."""

    name: str = _setting(_label)
    token_sha256: str = _setting(_sha256)
    role: str = _setting(_role, default="read")


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what callers send and how long things may take."""

    body_bytes: int = _setting(_positive, default=4 << 20)
    body_s: Seconds = _setting(_positive, default=10.0)
    answer_s: Seconds = _setting(_positive, default=600.0)
    silence_s: Seconds = _setting(_positive, default=30.0)
    connect_s: Seconds = _setting(_positive, default=1.0)


@dataclass(frozen=True, slots=True)
class StopSettings:
    """A planned stop: how long the balancer needs, how long work may take."""

    balancer_delay_s: Seconds = _setting(_not_negative, default=5.0)
    finish_s: Seconds = _setting(_positive, default=900.0)


@dataclass(frozen=True, slots=True)
class ServerTLS:
    """Certificate and key of a listener."""

    certificate: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class ClientTLS:
    """Authorities to believe, and a certificate to show if any."""

    ca: str = ""
    certificate: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class TLSSettings:
    """TLS on each side; an empty table is plain HTTP."""

    callers: ServerTLS = ServerTLS()
    operators: ServerTLS = ServerTLS()
    upstreams: ClientTLS = ClientTLS()


@dataclass(frozen=True, slots=True)
class LogSettings:
    """What is logged."""

    level: str = _setting(_level, default="info")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one router."""

    router: RouterSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: tuple[OperatorToken, ...] = ()
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
    tls: TLSSettings = TLSSettings()
    log: LogSettings = LogSettings()


@dataclass(frozen=True, slots=True)
class RouteListenSettings:
    """Addresses of a router that serves routes.

    Attributes
    ----------
    balancer : str
        Where the balancer asks whether the router is ready.
    metrics : str
        Where metrics are read; the same pages are on both.
    """

    callers: str = _setting(_address)
    balancer: str = _setting(_address)
    metrics: str = _setting(_address)
    peers: str = _setting(_address)


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's key-value service."""

    address: str = _setting(_address)


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Bounds that operators promise to callers.

    Attributes
    ----------
    withdrawn_ms : float
        A withdrawn key is refused this long after its removal, in ms.
    drain_ms : float
        No request reaches an upstream this long after the service has acknowledged
        that it leaves, in ms.
    grace_s : float
        A planned stop ends within this, in seconds.
    retry_ratio, retry_slack, retry_window_s : float
        What all routers together may send again to one pool: a part of its
        requests and a number, in each window of this length in seconds.
    """

    withdrawn_ms: float = _setting(_positive, default=5_000.0)
    grace_s: Seconds = _setting(_positive, default=8.0)
    retry_ratio: float = _setting(_not_negative, default=0.2)
    retry_slack: float = _setting(_not_negative, default=10.0)
    retry_window_s: Seconds = _setting(_positive, default=10.0)
    drain_ms: float = _setting(_positive, default=3_000.0)


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Calls to the platform that one router at a time makes.

    Attributes
    ----------
    address : str
        Where the platform takes the calls.
    names : str
        The platform's names of the duties, separated by commas.
    calls_per_s : float
        Calls that the platform accepts from all routers together, per second.
    lease_ms : float
        A router that lost a duty does not act for at least this time, in ms.
    window_s : float
        Length of the windows for which usage is reported, in seconds; 0 for none.
    usage_late_s : float
        Usage of a window is due this long after its end, in seconds.
    """

    address: str = _setting(_address)
    names: str = ""
    calls_per_s: float = _setting(_positive, default=10.0)
    lease_ms: float = _setting(_positive, default=3_000.0)
    window_s: Seconds = _setting(_not_negative, default=0.0)
    usage_late_s: Seconds = _setting(_positive, default=10.0)


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What the host allows a router's process; 0 if it is not known.

    Attributes
    ----------
    memory_mb : float
        Memory at which the process is ended, in MB.
    descriptors : float
        Largest number of open descriptors.
    """

    memory_mb: float = _setting(_not_negative, default=0.0)
    descriptors: float = _setting(_not_negative, default=0.0)


@dataclass(frozen=True, slots=True)
class PaceSettings:
    """Whether upstreams that are new or recovered get requests at a limited pace."""

    enabled: bool = False


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Whether answers that cannot end in time wait or are refused under high load."""

    enabled: bool = False


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """All settings of a router that serves routes."""

    router: RouterSettings
    listen: RouteListenSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    duties: DutySettings | None = None
    host: HostSettings = HostSettings()
    pace: PaceSettings = PaceSettings()
    overload: OverloadSettings = OverloadSettings()
    log: LogSettings = LogSettings()


def load_settings(path: str | Path) -> Settings:
    """Read and check the settings file of a router."""
    return read_settings(_load(path))


def load_route_settings(
    path: str | Path, *, last_bounds: BoundSettings = BoundSettings()
) -> RouteSettings:
    """Read and check the settings file of a router that serves routes.

    A bound that is not a number in its range is logged, and the last one is kept.  The
    platform fills in the bounds, and a router must also start if one is unusable.  The
    same holds for the limits of the host and for the duties, with their defaults.

    Parameters
    ----------
    last_bounds : BoundSettings
        Bounds in force.
    """
    raw = dict(_load(path))
    ignored: list[SettingError] = []
    for name, last in (("bounds", last_bounds), ("host", HostSettings())):
        raw[name] = _replace_unusable(raw.get(name, {}), last, name, ignored)
    if "duties" in raw:
        duties = _replace_unusable_duties(raw.pop("duties"), ignored)
        if duties is not None:
            raw["duties"] = duties
    settings = _read_all(RouteSettings, raw)
    for exc in ignored:
        _log.error("bad setting ignored", extra={"reason": str(exc)})
    return settings


def _replace_unusable_duties(
    raw: Any, ignored: list[SettingError]
) -> Mapping[str, Any] | None:
    """Return the table of duties with defaults for unusable values.

    None without a usable address: the router then serves requests without duties.
    """
    faults: list[SettingError] = []
    address = raw.get("address") if isinstance(raw, Mapping) else None
    spec = next(f for f in fields(DutySettings) if f.name == "address")
    _read_value(str, address, spec, "duties.address", faults)
    if faults:
        ignored += faults
        return None
    return _replace_unusable(raw, DutySettings(str(address)), "duties", ignored)


def _replace_unusable(
    raw: Any, last: Any, table: str, ignored: list[SettingError]
) -> Any:
    """Return a table with the last value for each unusable one, and collect why."""
    if not isinstance(raw, Mapping):
        return raw
    hints = typing.get_type_hints(type(last))
    usable = dict(raw)
    for spec in fields(last):
        if spec.name not in raw:
            continue
        faults: list[SettingError] = []
        where = _join(table, spec.name)
        _read_value(hints[spec.name], raw[spec.name], spec, where, faults)
        if faults:
            usable[spec.name] = getattr(last, spec.name)
            ignored += faults
    return usable


def _load(path: str | Path) -> Mapping[str, Any]:
    """Return the tables of a settings file.

    Raises
    ------
    ExceptionGroup
        Of :class:`~shallotpoint.errors.SettingError`, one for each bad key.
    """
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        fault = SettingError(str(path), str(exc), "a readable TOML file")
        raise ExceptionGroup("bad settings", [fault]) from None


def read_settings(raw: Mapping[str, Any]) -> Settings:
    """Check settings that were read already.

    Raises
    ------
    ExceptionGroup
        Of :class:`~shallotpoint.errors.SettingError`, one for each bad key.
    """
    return _read_all(Settings, raw)


def _read_all(cls: type[T], raw: Mapping[str, Any]) -> T:
    faults: list[SettingError] = []
    settings = _read_table(cls, raw, "", faults)
    if faults:
        raise ExceptionGroup("bad settings", faults)
    return settings


def _read_table(cls: Any, raw: Any, path: str, faults: list[SettingError]) -> Any:
    if not isinstance(raw, Mapping):
        faults.append(SettingError(path, raw, "a table"))
        return None
    hints = typing.get_type_hints(cls)
    known = {f.name: f for f in fields(cls)}
    for name in raw.keys() - known.keys():
        allowed = f"one of {', '.join(known)}"
        faults.append(SettingError(_join(path, name), raw[name], allowed))
    values: dict[str, Any] = {}
    for name, spec in known.items():
        where = _join(path, name)
        if name in raw:
            values[name] = _read_value(hints[name], raw[name], spec, where, faults)
        elif spec.default is MISSING:
            faults.append(SettingError(where, None, "a value; the key is required"))
    return cls(**values) if not faults else None


def _read_value(hint: Any, value: Any, spec, path: str, faults) -> Any:
    hint = _without_none(hint)
    if is_dataclass(hint):
        return _read_table(hint, value, path, faults)
    if typing.get_origin(hint) is tuple:
        return _read_tables(typing.get_args(hint)[0], value, path, faults)
    if hint is float and type(value) is int:
        value = float(value)
    if type(value) is not hint:
        faults.append(SettingError(path, value, _TYPE_NAMES[hint]))
        return None
    check = spec.metadata.get("check")
    allowed = check(value) if check else None
    if allowed is not None:
        faults.append(SettingError(path, value, allowed))
    return value


def _read_tables(cls: Any, raw: Any, path: str, faults: list[SettingError]) -> Any:
    if not isinstance(raw, list):
        faults.append(SettingError(path, raw, f"tables headed [[{path}]]"))
        return ()
    return tuple(
        _read_table(cls, item, f"{path}[{index}]", faults)
        for index, item in enumerate(raw)
    )


def _without_none(hint: Any) -> Any:
    """Return the type of an optional setting; an absent one keeps its default."""
    if isinstance(hint, types.UnionType):
        return next(h for h in typing.get_args(hint) if h is not types.NoneType)
    return hint


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


_TYPE_NAMES: Mapping[Any, str] = types.MappingProxyType(
    {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}
)
