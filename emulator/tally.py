"""Outcomes of the requests of a run, and prefill work of the engines."""

import collections
import dataclasses

from emulator import stops

__all__ = ["OUTCOMES", "Result", "SERVED", "Tally", "served_shares"]

OUTCOMES = ("on time", "late", "refused", "failed", "gave up")
# Outcomes of requests with a complete response.
SERVED = ("on time", "late")


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Figures of a run.

    ``goodput`` is the earned share of the requests' total worth, ``kinds``
    the same by kind of request; ``shares`` maps an outcome to its share of
    requests. ``recomputed`` and ``fetched`` are shares of the requested tokens
    of shared parts: those prefilled although an engine had done so before,
    and those transferred from another engine. ``first_event_s`` holds the 50th
    and 99th percentile of the time to the first event. ``seconds`` holds,
    for each second of the run, the worth offered and earned.
    ``store_calls`` counts the hosts' calls for records of streams, by effect.
    """

    goodput: float
    worst_kind: float
    kinds: dict
    shares: dict
    recomputed: float
    fetched: float
    first_event_s: tuple
    requests: int
    seconds: tuple
    store_calls: dict = dataclasses.field(default_factory=dict)

    def row(self):
        """Return the figures to compare, by name."""
        return {"goodput": self.goodput, "worst kind": self.worst_kind,
                "late": self.shares["late"],
                "refused": self.shares["refused"],
                "failed": self.shares["failed"] + self.shares["gave up"],
                "read again": self.recomputed, "fetched": self.fetched,
                "first, half": self.first_event_s[0],
                "first, 99 %": self.first_event_s[1]}


class Tally:
    """Counters that are updated during a run.

    ``by_workspace`` counts requests by (workspace, kind, outcome),
    ``refusals`` those that hosts refused by reason, ``messages`` what hosts
    sent each other by the name of its event, and ``store_calls`` their calls
    for records of streams by the name of the effect. ``stops`` is about
    planned stops of hosts.
    """

    def __init__(self, began):
        self.began = began
        self.outcomes = collections.Counter()
        self.by_workspace = collections.Counter()
        self.offered = collections.Counter()
        self.earned = collections.Counter()
        self.store_calls = collections.Counter()
        self.refusals = collections.Counter()
        self.messages = collections.Counter()
        self.stops = stops.StopTally()
        self.by_second = collections.defaultdict(lambda: [0.0, 0.0])
        self.first_event_waits = []
        self.prefilled_parts = set()
        self.shared_tokens = 0
        self.recomputed_tokens = 0
        self.fetched_tokens = 0

    def record_outcome(self, caller):
        """Record the outcome of a caller."""
        kind = caller.kind
        earned = {"on time": kind.worth, "late": kind.late}.get(
            caller.outcome, 0.0)
        self.outcomes[caller.outcome] += 1
        self.by_workspace[
            caller.workspace, kind.name, caller.outcome] += 1
        self.offered[kind.name] += kind.worth
        self.earned[kind.name] += earned
        second = self.by_second[int(caller.at - self.began)]
        second[0] += kind.worth
        second[1] += earned
        if caller.first_event_at is not None:
            self.first_event_waits.append(caller.first_event_at - caller.at)

    def record_prefill(self, prompt, unread_tokens, fetched):
        """Record the prefill that an engine does for a prompt."""
        shared = sum(tokens for _, tokens in prompt.parts[:-1])
        uncached_shared = max(0, unread_tokens - (prompt.tokens - shared))
        self.shared_tokens += shared
        self.fetched_tokens += fetched
        for part, _ in prompt.parts[:-1]:
            if part in self.prefilled_parts:
                self.recomputed_tokens += uncached_shared
            self.prefilled_parts.add(part)

    def result(self):
        """Return the Result."""
        total = sum(self.outcomes.values()) or 1
        kinds = {name: self.earned[name] / offered
                 for name, offered in self.offered.items()}
        shared_total = self.shared_tokens or 1
        seconds = [tuple(self.by_second[second])
                   for second in sorted(self.by_second)]
        return Result(
            goodput=sum(self.earned.values()) / (
                sum(self.offered.values()) or 1),
            worst_kind=min(kinds.values(), default=0.0), kinds=kinds,
            shares={name: self.outcomes[name] / total for name in OUTCOMES},
            recomputed=self.recomputed_tokens / shared_total,
            fetched=self.fetched_tokens / shared_total,
            first_event_s=(_quantile(self.first_event_waits, 0.5),
                           _quantile(self.first_event_waits, 0.99)),
            requests=total, seconds=tuple(seconds),
            store_calls=dict(self.store_calls))


def served_shares(counts, outcomes=SERVED, by=("workspace", "kind")):
    """Return the share of requests with one of some outcomes.

    ``counts`` are a Tally's ``by_workspace``. The shares are given by
    (workspace, kind), or by the one of them that is named in ``by``.
    """
    served = collections.Counter()
    total = collections.Counter()
    for (workspace, kind, outcome), count in counts.items():
        names = {"workspace": workspace, "kind": kind}
        key = tuple(names[name] for name in by)
        key = key if len(key) > 1 else key[0]
        total[key] += count
        served[key] += count * (outcome in outcomes)
    return {key: served[key] / count for key, count in total.items()}


def _quantile(values, share):
    """Return the value at a quantile, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0
