"""Assembles and checks an answer streamed over several connections."""

import dataclasses
import json

from standins import texts

__all__ = ["Stream", "messages", "new_stream"]

_EVENT_SEPARATOR = b"\n\n"


def messages(prompt):
    """Return the chat messages of a prompt."""
    return [{"role": "user", "content": prompt}]


def new_stream(prompt):
    """Return a stream without events."""
    return Stream(prompt)


@dataclasses.dataclass(slots=True)
class Stream:
    """The events of one answer.

    An event that is incomplete when its connection breaks is dropped.
    """

    prompt: str
    last_id: str = ""
    words: list[str] = dataclasses.field(default_factory=list)
    event_numbers: list[int] = dataclasses.field(default_factory=list)
    usage: dict | None = None
    error: dict | None = None
    complete: bool = False
    buffer: bytes = b""

    def start_connection(self, resumed):
        """Start a new connection; a resumed one keeps the events so far."""
        self.buffer = b""
        self.error = None
        if not resumed:
            self.reset()
            self.complete = False

    def reset(self):
        """Discard all events, as the stream can't be completed."""
        self.last_id = ""
        self.words, self.event_numbers = [], []
        self.usage, self.error = None, None
        self.buffer = b""

    def feed(self, data):
        """Parse bytes that were received on the connection."""
        *complete_events, self.buffer = (
            self.buffer + data).split(_EVENT_SEPARATOR)
        for event in complete_events:
            self._handle_event(event.decode())

    def _handle_event(self, text):
        fields = dict(line.split(": ", 1) for line in text.split("\n"))
        if fields.get("event") == "error":
            self.error = json.loads(fields["data"])
            return
        self.last_id = fields["id"]
        self.event_numbers.append(int(self.last_id.rpartition(":")[2]))
        if fields["data"] == "[DONE]":
            self.complete = True
            return
        chunk = json.loads(fields["data"])
        delta = chunk["choices"][0]["delta"]
        self.words.append(delta.get("content", ""))
        self.usage = chunk.get("usage", self.usage)

    def check(self):
        """Return verdict and detail of a complete answer."""
        count = len(self.event_numbers)
        if (self.event_numbers != list(range(1, count + 1))
                or not self.complete):
            return "wrong", (f"events {self.event_numbers} "
                             f"complete {self.complete}")
        if self.usage is None:
            return "wrong", "no usage"
        tokens = self.usage["completion_tokens"]
        prompt = texts.prompt_text(messages(self.prompt))
        if "".join(self.words) != texts.expected_text(prompt, tokens):
            return "wrong", "unexpected text"
        return "right", ""
