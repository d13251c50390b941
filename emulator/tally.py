"""What came of the requests of a run, and what engines did for them."""

import collections
import dataclasses

__all__ = ["OUTCOMES", "Result", "Tally"]

OUTCOMES = ("on time", "late", "refused", "failed", "gave up")


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Figures of a run.

    ``goodput`` is the share of what requests were worth that was earned,
    ``kinds`` the same by kind of request; ``shares`` are of requests, by
    outcome. ``again`` and ``fetched`` are shares of the tokens of shared
    parts that were asked for: read though an engine had them, and taken
    from another engine. ``first_s`` is the wait for the first event that
    half and 99 in 100 stay within. ``seconds`` holds, for each second of
    the run, what was owed and what was earned.
    """

    goodput: float
    worst: float
    kinds: dict
    shares: dict
    again: float
    fetched: float
    first_s: tuple
    requests: int
    seconds: tuple

    def row(self):
        """Return the figures that are compared, by name."""
        return {"goodput": self.goodput, "worst kind": self.worst,
                "late": self.shares["late"],
                "refused": self.shares["refused"],
                "failed": self.shares["failed"] + self.shares["gave up"],
                "read again": self.again, "fetched": self.fetched,
                "first, half": self.first_s[0],
                "first, 99 %": self.first_s[1]}


class Tally:
    """Counts while a run goes on."""

    def __init__(self, began):
        self.began = began
        self.ended = collections.Counter()
        self.owed = collections.Counter()
        self.earned = collections.Counter()
        self.by_second = collections.defaultdict(lambda: [0.0, 0.0])
        self.waits = []
        self.read = set()
        self.asked_tokens = 0
        self.again_tokens = 0
        self.fetched_tokens = 0

    def note_end(self, caller):
        """Note a caller that is done."""
        kind = caller.kind
        earned = {"on time": kind.worth, "late": kind.late}.get(
            caller.outcome, 0.0)
        self.ended[caller.outcome] += 1
        self.owed[kind.name] += kind.worth
        self.earned[kind.name] += earned
        second = self.by_second[int(caller.at - self.began)]
        second[0] += kind.worth
        second[1] += earned
        if caller.first_at is not None:
            self.waits.append(caller.first_at - caller.at)

    def note_read(self, prompt, unread, fetched):
        """Note what an engine reads of a prompt that it was sent."""
        shared = sum(tokens for _, tokens in prompt.parts[:-1])
        missing = max(0, unread - (prompt.tokens - shared))
        self.asked_tokens += shared
        self.fetched_tokens += fetched
        for part, _ in prompt.parts[:-1]:
            if part in self.read:
                self.again_tokens += missing
            self.read.add(part)

    def result(self):
        """Return the Result."""
        total = sum(self.ended.values()) or 1
        kinds = {name: self.earned[name] / owed
                 for name, owed in self.owed.items()}
        asked = self.asked_tokens or 1
        seconds = [tuple(self.by_second[second])
                   for second in sorted(self.by_second)]
        return Result(
            goodput=sum(self.earned.values()) / (
                sum(self.owed.values()) or 1),
            worst=min(kinds.values(), default=0.0), kinds=kinds,
            shares={name: self.ended[name] / total for name in OUTCOMES},
            again=self.again_tokens / asked,
            fetched=self.fetched_tokens / asked,
            first_s=(_at_share(self.waits, 0.5),
                     _at_share(self.waits, 0.99)),
            requests=total, seconds=tuple(seconds))


def _at_share(values, share):
    """Return the value that a share of all stays within."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0
