"""Attainment of the latency targets by class, from recent events.

Counts the responses of this host whose events are still in its ring
buffer, against the targets of the settings now in force. Longer periods
are covered by the statsd metrics.
"""

import dataclasses

from crocuskeel.core import follower

__all__ = ["ClassAttainment", "by_class"]

ANSWERED = "answered"
REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ClassAttainment:
    """Counts for one class.

    ``answered`` are complete responses, ``attained`` those of them that
    met both latency targets, ``refused`` requests that did not run, and
    ``failed`` requests that failed after they may have run.
    """

    class_name: str
    answered: int = 0
    attained: int = 0
    refused: int = 0
    failed: int = 0


@dataclasses.dataclass(slots=True)
class _ClassCounts:
    answered: int = 0
    attained: int = 0
    refused: int = 0
    failed: int = 0


def by_class(daemon, events):
    """Return a :class:`ClassAttainment` for each class, sorted by name.

    ``events`` are :class:`crocuskeel.timeline.Event` of this host.
    """
    counts = {}
    for event in events:
        name = event.get("class", "")
        if name and event.kind in (ANSWERED, REFUSED):
            _count(daemon, counts.setdefault(name, _ClassCounts()), event)
    return tuple(
        ClassAttainment(name, count.answered, count.attained, count.refused,
                        count.failed)
        for name, count in sorted(counts.items()))


def _count(daemon, count, event):
    if event.kind == REFUSED:
        # A refusal by a dispatcher (with a cell) is followed by an
        # "answered" event; "refused" is the final event only of
        # requests that were never admitted.
        count.refused += 0 if event.get("cell") else 1
    elif not event.get("reason"):
        count.answered += 1
        count.attained += _attained(daemon, event)
    elif event.get("outcome") == "not_run":
        count.refused += 1
    else:
        count.failed += 1


def _attained(daemon, event):
    policy = follower.policy(
        daemon, event.get("workspace", ""), event.get("class", ""))
    if policy is None:
        return False
    in_time = event.get("ttft_s", 0.0) <= policy.target_ttft_s
    return in_time and event.get("itl_s", 0.0) <= policy.target_itl_s
