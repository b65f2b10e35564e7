"""What a caller has of its answer so far, and how to ask for the rest."""

from __future__ import annotations

import msgspec

from shallotpoint.types import JSONObject, Seconds
from shallotpoint.upstreams.sse import DONE, CompletionAccumulator

_LIMITS = ("max_tokens", "max_completion_tokens")


class AnswerSoFar:
    """Text, tokens and times of the answer to one chat request.

    Only what was written to the caller counts, so that an answer that is
    carried on neither repeats nor lacks a token.

    Parameters
    ----------
    body : bytes
        The request as the caller sent it.
    limit : int or None
        The most tokens that the caller wants.
    keeps_text : bool
        Whether the text is kept, to carry the answer on.

    Examples
    --------
    >>> answer = AnswerSoFar(b'{"messages": [], "max_tokens": 1}', limit=1)
    >>> answer.add(b'data: {"choices": [{"delta": {"content": "a"}}]}\\n\\n', 1, 2.0)
    >>> answer.at_limit, answer.text()
    (True, 'a')
    """

    def __init__(self, body: bytes, *, limit: int | None, keeps_text: bool = True):
        self.tokens = 0
        self.ended = False
        self.first_s: Seconds | None = None
        self._last_s: Seconds = 0.0
        self._body = body
        self._limit = limit
        self._delivered = CompletionAccumulator() if keeps_text else None

    @property
    def at_limit(self) -> bool:
        """Whether the caller has all the tokens that it asked for."""
        return bool(self._limit) and self.tokens >= (self._limit or 0)

    def add(
        self, events: bytes, tokens: int, read_s: Seconds, *, ended: bool = False
    ) -> None:
        """Note events that were written, and when they were read."""
        self.ended |= ended
        if tokens and self.first_s is None:
            self.first_s = read_s
        self._last_s = read_s
        self.tokens += tokens
        if self._delivered is not None:
            self._delivered.add(events)

    def text(self) -> str:
        """Return the text so far."""
        return self._delivered.text() if self._delivered else ""

    def time_between_tokens_s(self) -> Seconds | None:
        """Return the mean time between tokens, or None for fewer than two."""
        if self.first_s is None or self.tokens < 2:
            return None
        return (self._last_s - self.first_s) / (self.tokens - 1)

    def whole(self, request_id: str, model: str, *, created: int) -> bytes:
        """Return the gathered events as the answer to a request without stream.

        The completion's tokens are counted here, as an engine that carried the
        answer on knows only its own.
        """
        seen = self._delivered or CompletionAccumulator()
        message = {"role": "assistant", "content": seen.text()}
        if reasoning := seen.reasoning():
            message["reasoning_content"] = reasoning
        finish = seen.finish_reason() or "length"
        answer: JSONObject = {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion",
            "created": created,
            "model": model,
            "choices": [{"index": 0, "message": message, "finish_reason": finish}],
        }
        usage = seen.usage()
        if usage is not None:
            prompt = int(usage.get("prompt_tokens", 0))
            counted = {"completion_tokens": self.tokens}
            answer["usage"] = {**usage, **counted, "total_tokens": prompt + self.tokens}
        return msgspec.json.encode(answer)

    def next_body(self) -> bytes:
        """Return the request, or the request for the rest of the answer."""
        if not self.tokens:
            return self._body
        return continued_body(self._body, self.text(), self.tokens)


def streamed_body(body: bytes) -> bytes:
    """Return a request for the same answer as a stream with its usage."""
    request: JSONObject = msgspec.json.decode(body)
    request["stream"] = True
    request["stream_options"] = {"include_usage": True}
    return msgspec.json.encode(request)


def continued_body(body: bytes, text: str, tokens: int) -> bytes:
    """Return a request that carries an answer on after the text so far."""
    request: JSONObject = msgspec.json.decode(body)
    partial = {"role": "assistant", "content": text}
    request["messages"] = [*request["messages"], partial]
    request["continue_final_message"] = True
    request["add_generation_prompt"] = False
    for name in _LIMITS:
        if request.get(name):
            request[name] = max(1, request[name] - tokens)
    return msgspec.json.encode(request)


def closing_events(request_id: str, model: str) -> bytes:
    """Return the end of a stream that has reached the caller's token limit."""
    chunk = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n" + DONE + b"\n\n"
