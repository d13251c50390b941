"""Attainment of the latency targets by class, from recent events.

Counted over this host's own answers that are still in its ring, by the
targets of the settings now in force. The long view is statsd's.
"""

import dataclasses

from crocuskeel.core import follower

__all__ = ["ClassLine", "by_class"]

ANSWERED = "answered"
REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ClassLine:
    """One class: whole answers, those in time, and refusals.

    ``failed`` are answers that ended in a failure after the request may
    have run.
    """

    class_name: str
    answered: int = 0
    attained: int = 0
    refused: int = 0
    failed: int = 0


@dataclasses.dataclass(slots=True)
class _Count:
    answered: int = 0
    attained: int = 0
    refused: int = 0
    failed: int = 0


def by_class(daemon, events):
    """Return a :class:`ClassLine` for each class, sorted by name.

    ``events`` are :class:`crocuskeel.timeline.Event` of this host.
    """
    counts = {}
    for event in events:
        name = event.get("class", "")
        if name and event.kind in (ANSWERED, REFUSED):
            _count(daemon, counts.setdefault(name, _Count()), event)
    return tuple(
        ClassLine(name, count.answered, count.attained, count.refused,
                  count.failed)
        for name, count in sorted(counts.items()))


def _count(daemon, count, event):
    if event.kind == REFUSED:
        # A dispatcher's refusal has an "answered" too; only what was
        # never admitted ends with "refused".
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
