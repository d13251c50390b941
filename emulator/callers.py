"""Callers: they ask a host, come back once after a refusal, and give up."""

import dataclasses

from crocuskeel.core.entry import model

__all__ = ["Caller", "new_request"]

HOST = "desk"
# A caller keeps the addresses that it was told for so long, s.
TOLD_S = 2.0
# Tokens of an answer beyond those that its events hold.
OUTPUT_SLACK = 1.5


def new_request(rid, kind, subject, left_s, event_tokens):
    """Return a caller's request of a kind and a subject."""
    prompt = None
    if kind.kind == "stream":
        parts = ((f"{kind.name}-{subject}", kind.shared),
                 (f"own-{rid}", kind.own))
        prompt = model.Prompt(
            parts, kind.shared + kind.own,
            int(kind.events * event_tokens * OUTPUT_SLACK))
    return model.Request(rid, "POST", HOST, f"/{kind.name}/1", "",
                         left_s, prompt, rid)


@dataclasses.dataclass(slots=True)
class Caller:
    """One caller with one matter, from its first attempt to the end.

    ``first_at`` is when its first event came, ``pause_s`` its longest
    pause. ``outcome`` is empty until it is over.
    """

    world: object
    rid: str
    kind: object
    subject: int
    at: float
    attempts: int = 0
    events: int = 0
    first_at: float | None = None
    last_at: float = 0.0
    pause_s: float = 0.0
    outcome: str = ""
    host: object = None
    key: int | None = None

    def ask(self):
        """Ask one of the hosts that it was told of."""
        left_s = self._ends_at() - self.world.clock.now
        if left_s <= 0:
            self._end("gave up")
            return
        self.attempts += 1
        self.host = self.world.host_for_caller()
        request = new_request(
            f"{self.rid}-{self.attempts}", self.kind, self.subject, left_s,
            self.world.deployment.engines.event_tokens)
        self.key = None if self.host is None else self.host.ask(
            self, request)
        if self.key is None and not self.outcome:
            self._again(0.2)

    def give_up(self):
        """Its time is over."""
        if self.outcome:
            return
        self._end("gave up")
        if self.host is not None and self.key is not None:
            self.host.left(self.key)

    def event(self):
        """Take an event of a stream."""
        now = self.world.clock.now
        if self.first_at is None:
            self.first_at = now
        else:
            self.pause_s = max(self.pause_s, now - self.last_at)
        self.last_at = now
        self.events += 1

    def ended(self):
        """Take the whole answer."""
        if self.first_at is None:
            self.first_at = self.world.clock.now
        on_time = (self.first_at - self.at <= self.kind.goal_ms / 1e3
                   and self.pause_s <= self.kind.gap_ms / 1e3)
        self._end("on time" if on_time else "late")

    def refused(self, status, retry_s):
        """Take a failure; "not run" is true with a time to come back."""
        if status == 503 and self.attempts <= self.kind.retries:
            self._again(retry_s or 0.0)
            return
        self._end("refused" if status == 503 else "failed")

    def cut(self):
        """Its connection broke."""
        self._end("failed")

    def _again(self, span_s):
        if self.world.clock.now + span_s >= self._ends_at():
            self._end("refused")
            return
        self.world.clock.after(span_s, self.ask)

    def _ends_at(self):
        return self.at + self.kind.limit_ms / 1e3

    def _end(self, outcome):
        if not self.outcome:
            self.outcome = outcome
            self.world.tally.note_end(self)
