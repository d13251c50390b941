"""What this host knows of requests that may crash backend servers.

A verdict is kept by the request's fingerprint for a span on this host's
own clock, and told to all hosts: a caller sends its request again to
any of them.
"""

import collections
import dataclasses
import enum

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["Incident", "QuarantineState", "Verdict", "announce", "handle",
           "is_pending", "new_state", "note", "verdict"]

KEPT_S = 600.0
MAX_VERDICTS = 4096


class Verdict(enum.StrEnum):
    """Words of :class:`messages.CrashSeen`; NONE is never sent."""

    NONE = ""
    SUSPECT = "suspect"
    CLEARED = "cleared"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True)
class Incident:
    """Attempts lost at about the same time on one backend server.

    ``boot_id`` is the server's before the loss; ``alone`` is the
    fingerprint that had the server to itself, "" for none. ``crashed``
    is None until a load report or time decides.
    """

    engine: str
    at: float
    boot_id: str
    fingerprints: set[str]
    alone: str = ""
    crashed: bool | None = None
    heard_ok: bool = False


@dataclasses.dataclass(slots=True)
class QuarantineState:
    """``verdicts`` maps a fingerprint to its verdict and its end."""

    verdicts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    incidents: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=64))


def new_state():
    """Return the state of a daemon that knows of no crash."""
    return QuarantineState()


def verdict(daemon, fingerprint):
    """Return "", "suspect" or "quarantined" for a fingerprint."""
    found = daemon.quarantine.verdicts.get(fingerprint)
    return str(found[0]) if found else ""


def is_pending(daemon, fingerprint):
    """Tell whether it must not run until a loss is judged.

    After a loss alone, or with two losses against it, one more run
    could be a third crash.
    """
    known = [incident for incident in daemon.quarantine.incidents
             if fingerprint in incident.fingerprints
             and incident.crashed is not False]
    undecided = [one for one in known if one.crashed is None]
    alone = any(one.alone == fingerprint for one in undecided)
    return alone or (len(known) > 1 and bool(undecided))


def note(daemon, fingerprint, value, now, span_s=KEPT_S):
    """Keep a verdict; return whether it changed anything."""
    verdicts = daemon.quarantine.verdicts
    known = verdicts.get(fingerprint, (Verdict.NONE, 0.0))[0]
    if value == Verdict.CLEARED:
        if known != Verdict.SUSPECT:
            return False
        del verdicts[fingerprint]
        return True
    if known == Verdict.QUARANTINED and value == Verdict.SUSPECT:
        # A late "suspect" of another host must not undo the verdict:
        # the request would run, and crash a server, once more.
        return False
    verdicts[fingerprint] = (value, now + span_s)
    verdicts.move_to_end(fingerprint)
    _bound(verdicts)
    return known != value


def _bound(verdicts):
    while len(verdicts) > MAX_VERDICTS:
        suspects = (key for key, (value, _) in verdicts.items()
                    if value == Verdict.SUSPECT)
        oldest = next(suspects, None) or next(iter(verdicts))
        del verdicts[oldest]


def announce(daemon, engine, value, fingerprints, now):
    """Keep a verdict on fingerprints and tell all hosts."""
    changed = tuple(sorted(
        one for one in fingerprints if one and note(daemon, one, value, now)))
    if not changed:
        return []
    out = [effects.Record(
        str(value), "", (("engine", engine), ("fingerprint", one)))
        for one in changed]
    seen = messages.CrashSeen(engine, str(value), changed, KEPT_S)
    return [*out, effects.Broadcast(seen),
            effects.Measure(f"quarantine.{value}", len(changed))]


def handle(daemon, event, now):
    """Reduce one event; return effects."""
    match event:
        case events.Received(message=messages.CrashSeen() as seen):
            _heard(daemon, seen, now)
        case events.TimerFired():
            _expire(daemon.quarantine.verdicts, now)
    return []


def _heard(daemon, seen, now):
    if seen.verdict not in set(Verdict):
        return
    value = Verdict(seen.verdict)
    for fingerprint in seen.fingerprints:
        note(daemon, fingerprint, value, now, min(seen.span_s, KEPT_S))


def _expire(verdicts, now):
    # Ordered by the time of the last verdict, so the first are due.
    while verdicts:
        fingerprint, (_value, until) = next(iter(verdicts.items()))
        if until > now:
            return
        del verdicts[fingerprint]
