"""Planned stops of hosts, and what becomes of their requests."""

import dataclasses

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import stopping

__all__ = ["EFFECT_HANDLERS", "Refusal", "Stop", "StopTally", "accepts",
           "ends_keep_alive", "note_answer", "stop"]

STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class StopTally:
    """Requests that planned stops concern, and how long stops took, s.

    ``broken`` were read and got no whole answer as their host ended, those of
    them that are ``broken_late`` were read after SIGTERM,
    ``refused`` counts refusals, and ``refused_in_vain`` those of requests
    that took less time elsewhere than their host had left. ``waits`` are the
    times to the first event of requests that were refused and then served,
    ``unserved`` those refused that nobody served, ``repeated`` those refused
    by two stopping hosts or more. ``killed`` hosts did not exit in time.
    """

    broken: int = 0
    broken_late: int = 0
    refused: int = 0
    refused_in_vain: int = 0
    repeated: int = 0
    unserved: int = 0
    served: int = 0
    killed: int = 0
    waits: list = dataclasses.field(default_factory=list)
    spans: list = dataclasses.field(default_factory=list)

    def record_outcome(self, caller, now):
        """Record a caller that has ended."""
        is_served = caller.outcome in ("on time", "late")
        self.served += is_served
        if not caller.stop_refusals:
            return
        self.repeated += len(caller.stop_refusals) > 1
        if not is_served:
            self.unserved += 1
            return
        self.waits.append(caller.first_event_at - caller.at)
        took_s = now - caller.sent_at
        self.refused_in_vain += sum(
            each.at + took_s < each.ends_at for each in caller.stop_refusals)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """When a stopping host refused a request, and when it had to exit."""

    at: float
    ends_at: float


@dataclasses.dataclass(slots=True)
class Stop:
    """A planned stop in progress."""

    at: float
    away_s: float
    closes_answers: bool = False
    listener_closed: bool = False


def accepts(host):
    """Return whether a host runs and accepts connections."""
    return host.core is not None and not (
        host.stopping is not None and host.stopping.listener_closed)


def ends_keep_alive(host):
    """Return whether a host's answers end their connections."""
    return host.stopping is not None and host.stopping.closes_answers


def stop(host, away_s):
    """Send a host SIGTERM; it starts again ``away_s`` after its end."""
    if host.core is None or host.stopping is not None:
        return
    now = host.world.clock.now
    host.stopping = Stop(now, away_s)
    host.world.clock.after(host.core.cfg.grace_s, _kill, host, host.boot)
    host.feed(events.StopAsked(now))


def _kill(host, boot):
    if host.core is not None and host.boot == boot:
        host.world.tally.stops.killed += 1
        _end(host)


def _end(host):
    """End the process: what it has not answered is broken off."""
    found, host.stopping = host.stopping, None
    now = host.world.clock.now
    tally = host.world.tally.stops
    tally.broken += len(host.pending)
    tally.broken_late += sum(
        each.at >= found.at for each in host.pending.values())
    tally.spans.append(now - found.at)
    host.stop()
    host.world.clock.after(found.away_s, host.start)


def note_answer(host, effect):
    """Record that a stopping host answers a request by itself."""
    if host.stopping is None or effect.reason != STOPPING:
        return
    tally = host.world.tally.stops
    if host.core.exited:
        tally.broken += 1
        tally.broken_late += host.pending[effect.key].at >= host.stopping.at
        return
    tally.refused += 1
    caller = host.pending[effect.key].caller
    caller.stop_refusals.append(Refusal(
        host.world.clock.now, stopping.ends_at(host.core)))


def _end_keep_alive(host, effect):
    host.stopping.closes_answers = True


def _close_listener(host, effect):
    host.stopping.listener_closed = True


def _schedule_stop_due(host, effect):
    host.world.clock.at(
        effect.at, host.receive_event, host.boot, events.StopDue())


def _exit(host, effect):
    _end(host)


EFFECT_HANDLERS = {
    effects.EndKeepAlive: _end_keep_alive,
    effects.CloseListener: _close_listener,
    effects.ScheduleStopDue: _schedule_stop_due,
    effects.Exit: _exit,
}
