"""Description of a request's prompt: shared parts and token counts."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.hashing import content_name, hash64

MAX_ID_CHARS = 32
MAX_LOGGED_IDS = 8
MAX_TOKENS = 1_000_000_000  # no prompt or answer is this long


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other requests may share.

    Attributes
    ----------
    id : str
        Identifier, equal for equal parts.
    tokens : int
        Number of tokens.
    """

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The parts and size of a prompt and the expected size of the answer.

    Attributes
    ----------
    parts : tuple of PromptPart
        Parts in order; the last one belongs to this request or its session alone.
    prompt_tokens : int
        Number of tokens of the whole prompt.
    expected_output_tokens : int
        Expected number of tokens of the answer.
    """

    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    expected_output_tokens: int = 0

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_ids(self) -> frozenset[str]:
        """Ids of the parts that other requests may share; long ones are hashed."""
        return frozenset(
            part.id if len(part.id) <= MAX_ID_CHARS else content_name(hash64(part.id))
            for part in self.shared
        )

    @property
    def unshared_tokens(self) -> int:
        """Number of tokens that no other request shares; all if no parts are given."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last shared part, which identifies the longest shared prefix.

        Empty if the prompt has no shared parts.
        """
        shared = self.shared
        return shared[-1].id if shared else ""


def logged_ids(parts: frozenset[str]) -> list[str]:
    """Return ids of prompt parts in the order and number in which logs list them."""
    return sorted(parts)[:MAX_LOGGED_IDS]
