"""A streamed answer over any number of connections, and its verdict."""

import dataclasses
import json

from standins import texts

__all__ = ["Stream", "messages", "new_stream"]

_END = b"\n\n"


def messages(prompt):
    """Return the chat messages of a prompt."""
    return [{"role": "user", "content": prompt}]


def new_stream(prompt):
    """Return a stream of which nothing came."""
    return Stream(prompt)


@dataclasses.dataclass(slots=True)
class Stream:
    """The events of one answer; a half event of a cut is dropped."""

    prompt: str
    last_id: str = ""
    words: list[str] = dataclasses.field(default_factory=list)
    numbers: list[int] = dataclasses.field(default_factory=list)
    usage: dict | None = None
    error: dict | None = None
    ended: bool = False
    rest: bytes = b""

    def begin(self, resumed):
        """Take a new connection: the rest of the stream, or all anew."""
        self.rest = b""
        self.error = None
        if not resumed:
            self.forget()
            self.ended = False

    def forget(self):
        """Give up what came: it can't be completed."""
        self.last_id = ""
        self.words, self.numbers = [], []
        self.usage, self.error = None, None
        self.rest = b""

    def take(self, data):
        """Take bytes of a connection."""
        *whole, self.rest = (self.rest + data).split(_END)
        for event in whole:
            self._event(event.decode())

    def _event(self, text):
        fields = dict(line.split(": ", 1) for line in text.split("\n"))
        if fields.get("event") == "error":
            self.error = json.loads(fields["data"])
            return
        self.last_id = fields["id"]
        self.numbers.append(int(self.last_id.rpartition(":")[2]))
        if fields["data"] == "[DONE]":
            self.ended = True
            return
        chunk = json.loads(fields["data"])
        delta = chunk["choices"][0]["delta"]
        self.words.append(delta.get("content", ""))
        self.usage = chunk.get("usage", self.usage)

    def judge(self):
        """Return verdict and detail of an answer that ended."""
        count = len(self.numbers)
        if self.numbers != list(range(1, count + 1)) or not self.ended:
            return "wrong", f"events {self.numbers} ended {self.ended}"
        if self.usage is None:
            return "wrong", "no usage"
        tokens = self.usage["completion_tokens"]
        prompt = texts.prompt_text(messages(self.prompt))
        if "".join(self.words) != texts.expected_text(prompt, tokens):
            return "wrong", "another text"
        return "right", ""
