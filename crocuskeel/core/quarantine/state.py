"""What this host knows about requests that may crash backend servers.

A verdict on a request's fingerprint is kept for a time span on this
host's own clock and broadcast to all hosts, since a caller may send its
request again to any of them.
"""

import collections
import dataclasses
import enum

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["Incident", "QuarantineState", "Verdict", "announce", "handle",
           "must_wait", "new_state", "record_verdict", "verdict"]

VERDICT_TTL_S = 600.0
MAX_VERDICTS = 4096


class Verdict(enum.StrEnum):
    """Verdicts in :class:`messages.CrashSeen`; NONE is never sent."""

    NONE = ""
    SUSPECT = "suspect"
    CLEARED = "cleared"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True)
class Incident:
    """Attempts lost at about the same time on one backend server.

    ``boot_id`` is the server's before the loss; ``exclusive`` is the
    fingerprint that had the server to itself, "" for none. ``crashed`` is
    None until a load report or a timeout decides it.
    """

    engine: str
    opened_at: float
    boot_id: str
    fingerprints: set[str]
    exclusive: str = ""
    crashed: bool | None = None
    reported_ok: bool = False


@dataclasses.dataclass(slots=True)
class QuarantineState:
    """``verdicts`` maps a fingerprint to its verdict and expiry time."""

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


def must_wait(daemon, fingerprint):
    """Tell whether a request must not run until a loss is decided.

    After a loss on a server that it had to itself, or after two losses
    that implicate it, another run could cause a third crash.
    """
    known = [incident for incident in daemon.quarantine.incidents
             if fingerprint in incident.fingerprints
             and incident.crashed is not False]
    undecided = [incident for incident in known
                 if incident.crashed is None]
    exclusive = any(incident.exclusive == fingerprint
                    for incident in undecided)
    return exclusive or (len(known) > 1 and bool(undecided))


def record_verdict(daemon, fingerprint, value, now,
                   span_s=VERDICT_TTL_S):
    """Record a verdict; return whether it changed anything."""
    verdicts = daemon.quarantine.verdicts
    known = verdicts.get(fingerprint, (Verdict.NONE, 0.0))[0]
    if value == Verdict.CLEARED:
        if known != Verdict.SUSPECT:
            return False
        del verdicts[fingerprint]
        return True
    if known == Verdict.QUARANTINED and value == Verdict.SUSPECT:
        # A late "suspect" of another host must not replace the verdict:
        # the request would run again and crash another server.
        return False
    verdicts[fingerprint] = (value, now + span_s)
    verdicts.move_to_end(fingerprint)
    _limit_size(verdicts)
    return known != value


def _limit_size(verdicts):
    while len(verdicts) > MAX_VERDICTS:
        suspects = (key for key, (value, _) in verdicts.items()
                    if value == Verdict.SUSPECT)
        oldest = next(suspects, None) or next(iter(verdicts))
        del verdicts[oldest]


def announce(daemon, engine, value, fingerprints, now):
    """Record a verdict on fingerprints and broadcast what changed."""
    changed = tuple(sorted(
        fingerprint for fingerprint in fingerprints
        if fingerprint and record_verdict(daemon, fingerprint, value, now)))
    if not changed:
        return []
    out = [effects.Record(
        str(value), "", (("engine", engine), ("fingerprint", fingerprint)))
        for fingerprint in changed]
    message = messages.CrashSeen(
        engine, str(value), changed, VERDICT_TTL_S)
    return [*out, effects.Broadcast(message),
            effects.Measure(f"quarantine.{value}", len(changed))]


def handle(daemon, event, now):
    """Handle one event; return effects."""
    match event:
        case events.Received(message=messages.CrashSeen() as message):
            _verdict_received(daemon, message, now)
        case events.TimerFired():
            _expire(daemon.quarantine.verdicts, now)
    return []


def _verdict_received(daemon, message, now):
    if message.verdict not in set(Verdict):
        return
    value = Verdict(message.verdict)
    for fingerprint in message.fingerprints:
        record_verdict(daemon, fingerprint, value, now,
                       min(message.span_s, VERDICT_TTL_S))


def _expire(verdicts, now):
    # Ordered by the time of the last verdict, so the first expire first.
    while verdicts:
        fingerprint, (_value, expires_at) = next(iter(verdicts.items()))
        if expires_at > now:
            return
        del verdicts[fingerprint]
