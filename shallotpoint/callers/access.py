"""Authentication of callers, and the choice of the service class of a request."""

from __future__ import annotations

import hmac
from dataclasses import dataclass

from shallotpoint.callers.exchange import Exchange
from shallotpoint.errors import RequestError
from shallotpoint.hashing import hash_key
from shallotpoint.policy.configuration import Config
from shallotpoint.policy.model import Organisation, ServiceClass
from shallotpoint.results import Result

CLASS_HEADER = "x-shallotpoint-class"
BRANCH_HEADER = "x-shallotpoint-branch"


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller and the service class of its request.

    Attributes
    ----------
    branch : str or None
        Branch of the organisation that the request names.
    exception : str or None
        Name of the branch exception that changes the class, if one applies.
    """

    organisation: Organisation
    service_class: ServiceClass
    branch: str | None
    exception: str | None


class KeyIndex:
    """Finds organisations by API key; rebuilt for each version of the configuration."""

    def __init__(self) -> None:
        self._version = -1
        self._by_hash: dict[str, Organisation] = {}

    def find(self, key: str, config: Config) -> Organisation | None:
        """Return the organisation that an API key belongs to, or None."""
        if config.version != self._version:
            self._by_hash = {o.key_hash: o for o in config.organisations.values()}
            self._version = config.version
        # The dict is indexed by the keys' hashes, so the time that the look-up takes
        # reveals nothing about any key.
        digest = hash_key(key)
        organisation = self._by_hash.get(digest)
        if organisation is None:
            return None
        is_same_hash = hmac.compare_digest(organisation.key_hash, digest)
        return organisation if is_same_hash else None


def identify_caller(exchange: Exchange, config: Config, keys: KeyIndex) -> Caller:
    """Return the authenticated caller and the service class of its request.

    Raises
    ------
    RequestError
        A header is malformed, the API key is missing or unknown, or the service class
        is unknown or not allowed.
    """
    organisation = _authenticate(exchange, config, keys)
    name = exchange.header(CLASS_HEADER) or organisation.default_class
    branch = exchange.header(BRANCH_HEADER)
    if name not in config.classes:
        raise RequestError(Result.UNKNOWN_CLASS, f"no service class {name!r}")
    if name not in organisation.classes:
        allowed = ", ".join(organisation.classes)
        raise RequestError(
            Result.CLASS_NOT_ALLOWED, f"class {name!r} is not allowed; use {allowed}"
        )
    key = f"{branch}/{name}"
    exception = key if branch and key in config.exceptions else None
    return Caller(organisation, config.class_for(name, branch), branch, exception)


def _authenticate(exchange: Exchange, config: Config, keys: KeyIndex) -> Organisation:
    value = exchange.header("authorization") or ""
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise RequestError(Result.MISSING_KEY)
    organisation = keys.find(key.strip(), config)
    if organisation is None:
        raise RequestError(Result.WRONG_KEY)
    return organisation
