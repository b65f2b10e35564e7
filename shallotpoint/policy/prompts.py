"""What a request says of its prompt: shared parts and token counts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a prompt and of the answer that is wanted.

    Attributes
    ----------
    parts : tuple of PromptPart
        In order; the last one belongs to this request or its session alone.
    tokens_in : int
        Tokens of the whole prompt.
    tokens_out : int
        Likely tokens of the answer.
    """

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def own_tokens(self) -> int:
        """Tokens that no other request shares; all where no parts are named."""
        return self.parts[-1].tokens if self.parts else self.tokens_in

    @property
    def family(self) -> str:
        """Id of the longest shared start, or an empty string."""
        shared = self.shared
        return shared[-1].id if shared else ""
