"""Progress of a chat completion, and the request that continues it elsewhere."""

from __future__ import annotations

import msgspec

from shallotpoint.decoding import usable_number
from shallotpoint.types import JSONObject, Seconds
from shallotpoint.upstreams.sse import DONE, CompletionAccumulator

_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")


class CompletionProgress:
    """Text, token count and times of the answer to one chat request.

    Only what was written to the caller, or collected for it, is added.  When another
    upstream continues the answer, it thus neither repeats nor lacks a token.

    Parameters
    ----------
    body : bytes
        Body of the request for the whole answer.
    limit : int or None
        Token limit that the caller set.
    keeps_text : bool
        Whether the text is kept, so that another upstream can continue the answer.

    Attributes
    ----------
    tokens : int
        Number of tokens so far.
    ended : bool
        Whether the answer's final event was added.
    first_token_at_s : float or None
        Monotonic time when the first token was read, in seconds.

    Examples
    --------
    >>> progress = CompletionProgress(b'{"messages": [], "max_tokens": 1}', limit=1)
    >>> progress.add(b'data: {"choices": [{"delta": {"content": "a"}}]}\\n\\n', 1, 2.0)
    >>> progress.has_reached_limit, progress.text()
    (True, 'a')
    """

    def __init__(self, body: bytes, *, limit: int | None, keeps_text: bool = True):
        self.tokens = 0
        self.ended = False
        self.first_token_at_s: Seconds | None = None
        self._last_read_at_s: Seconds = 0.0
        self._body = body
        self._limit = limit
        self._accumulator = CompletionAccumulator() if keeps_text else None

    @property
    def has_reached_limit(self) -> bool:
        """Whether the answer has reached the caller's token limit."""
        return bool(self._limit) and self.tokens >= (self._limit or 0)

    def add(
        self, events: bytes, tokens: int, read_at_s: Seconds, *, ended: bool = False
    ) -> None:
        """Add events of the answer.

        Parameters
        ----------
        tokens : int
            Number of tokens in the events.
        read_at_s : float
            Monotonic time when the events were read, in seconds.
        ended : bool, optional
            Whether the answer's final event is among them.
        """
        self.ended |= ended
        if tokens and self.first_token_at_s is None:
            self.first_token_at_s = read_at_s
        self._last_read_at_s = read_at_s
        self.tokens += tokens
        if self._accumulator is not None:
            self._accumulator.add(events)

    def text(self) -> str:
        """Return the text so far; empty if the text is not kept."""
        return self._accumulator.text() if self._accumulator else ""

    def time_between_tokens_s(self) -> Seconds | None:
        """Return the mean time between tokens, or None for fewer than two tokens."""
        if self.first_token_at_s is None or self.tokens < 2:
            return None
        return (self._last_read_at_s - self.first_token_at_s) / (self.tokens - 1)

    def encode_completion(self, request_id: str, model: str, *, created: int) -> bytes:
        """Return the collected events as the answer to a request without streaming.

        The completion's tokens are counted here, as an engine that continued the
        answer reports only those that it generated itself.
        """
        accumulated = self._accumulator or CompletionAccumulator()
        message = {"role": "assistant", "content": accumulated.text()}
        if reasoning := accumulated.reasoning():
            message["reasoning_content"] = reasoning
        finish = accumulated.finish_reason() or "length"
        answer: JSONObject = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion",
            "created": created,
            "model": model,
            "choices": [{"index": 0, "message": message, "finish_reason": finish}],
        }
        usage = accumulated.usage()
        if usage is not None:
            prompt = int(usable_number(usage.get("prompt_tokens")) or 0)
            counted = {"completion_tokens": self.tokens}
            answer["usage"] = {**usage, **counted, "total_tokens": prompt + self.tokens}
        return msgspec.json.encode(answer)

    def build_next_body(self) -> bytes:
        """Return the body for the next upstream, asking for the rest of the answer."""
        if not self.tokens:
            return self._body
        return to_continuation_body(self._body, self.text(), self.tokens)


def to_streaming_body(body: bytes) -> bytes:
    """Return the request body, changed to ask for a stream that reports token usage."""
    request: JSONObject = msgspec.json.decode(body)
    request["stream"] = True
    request["stream_options"] = {"include_usage": True}
    return msgspec.json.encode(request)


def to_continuation_body(body: bytes, text: str, tokens: int) -> bytes:
    """Return the request body, changed to continue the answer after its text so far.

    The caller's token limits are reduced by the tokens that it has, down to 1.
    """
    request: JSONObject = msgspec.json.decode(body)
    partial = {"role": "assistant", "content": text}
    request["messages"] = [*request["messages"], partial]
    request["continue_final_message"] = True
    request["add_generation_prompt"] = False
    for name in _LIMIT_FIELDS:
        if request.get(name):
            request[name] = max(1, request[name] - tokens)
    return msgspec.json.encode(request)


def encode_final_events(request_id: str, model: str) -> bytes:
    """Return the final events of a stream that has reached the caller's token limit."""
    chunk = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n" + DONE + b"\n\n"
