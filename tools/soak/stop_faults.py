"""Planned stops of hosts in series, and callers that hold on to them.

Hosts are asked to stop one after the other, two at once or all, and again soon
after their start, while streams last for several seconds. Some callers keep
addresses for long; those that are refused come again at once.
"""

import dataclasses
import random
import signal

from tools.soak import stop_checks
from twisted.internet import defer

__all__ = ["GAP_MS", "KINDS", "STOP_SEEDS", "come_again", "is_starting",
           "known_to_a_caller", "new_stops", "starve"]

# Runs of these seeds have planned stops in series.
STOP_SEEDS = range(1800, 1900)
# Seconds between two stops of a series, and from a start to the next stop.
APART_S = (0.3, 3.5)
AGAIN_S = (0.3, 2.0)
AGAIN_SHARE = 0.3
# Seconds between two events of streams of the two tiers.
TOP_EVENT_S = (0.42, 0.54)
LOW_EVENT_S = (0.03, 0.2)
# The longest pause that their routes aim at, ms.
GAP_MS = 1000
# Shares of the callers that keep addresses for good, and for three TTLs.
KEEPS_SHARE = 0.2
LONG_SHARE = 0.2
LONG_S = 3.0
# A host that is short of processor time gets a part of each period, s.
STARVED_S = 3.0
PERIOD_S = 0.1
HELD_SHARE = 0.6
# Interval of polling for the start and the end of hosts, s.
POLL_S = 0.1
MIN_LEFT_S = 0.5


@dataclasses.dataclass(slots=True)
class Stops:
    """The state of a run with planned stops.

    ``event_spans`` are the seconds between two events by kind of stream,
    ``known_ips`` what some callers know until ``known_until``. ``is_loaded``
    is false from the end of the load on.
    """

    event_spans: dict
    known_ips: list = dataclasses.field(default_factory=list)
    known_until: float = 0.0
    is_loaded: bool = True


def new_stops(seed):
    """Return the state of a run; None if its seed has no such stops."""
    if seed not in STOP_SEEDS:
        return None
    rng = random.Random(seed)
    return Stops({"top": rng.uniform(*TOP_EVENT_S),
                  "low": rng.uniform(*LOW_EVENT_S)})


def known_to_a_caller(soak):
    """Return the addresses of hosts that a random caller knows."""
    if not soak.stops:
        return soak.known_ips
    draw = soak.rng.random()
    if draw < KEEPS_SHARE:
        return soak.fleet.ips
    if draw < KEEPS_SHARE + LONG_SHARE:
        now = soak.reactor.seconds()
        if now >= soak.stops.known_until:
            soak.stops.known_ips = list(soak.known_ips)
            soak.stops.known_until = now + LONG_S
        return soak.stops.known_ips
    return soak.known_ips


def stop_in_series(soak):
    """All hosts are stopped, one after the other."""
    _stop(soak, len(soak.fleet.ips), soak.rng.uniform(*APART_S))


def stop_two(soak):
    """Two hosts are stopped at once."""
    _stop(soak, 2, 0.0)


def stop_all(soak):
    """All hosts are stopped at once."""
    _stop(soak, len(soak.fleet.ips), 0.0)


def _stop(soak, count, apart_s):
    """Stop hosts, unless some are being stopped."""
    if soak.stopping:
        return
    soak.note_fault("plan", f"{count} stops {apart_s:.1f} s apart")
    numbers = soak.rng.sample(range(len(soak.fleet.ips)), count)
    soak.stopping.update(numbers)
    for place, number in enumerate(numbers):
        soak.call_later(place * apart_s, _stop_host, soak, number)


def _stop_host(soak, number):
    ip, now = soak.fleet.ips[number], soak.reactor.seconds()
    boot = soak.fleet.start_counts[number]
    soak.record.sigterms[ip, boot] = now
    soak.record.stops.append((ip, now, now + stop_checks.GRACE_S))
    soak.fleet.signal(number, "SIGTERM")
    soak.fleet.restart(number, soak.call_later)
    soak.call_later(stop_checks.GRACE_S, _kill, soak, number, boot)
    _wait_for_start(soak, number, boot)


def _kill(soak, number, boot):
    """Kill a host that hasn't ended by itself."""
    if soak.fleet.start_counts[number] == boot and (
            not soak.fleet.has_ended(number)):
        soak.record.kills.append(
            (soak.fleet.ips[number], soak.reactor.seconds()))
        soak.fleet.signal(number, "SIGCONT")
        soak.fleet.signal(number, "SIGKILL")


def _wait_for_start(soak, number, boot):
    """Once a host accepts connections again, some are stopped once more."""
    if soak.fleet.start_counts[number] == boot or (
            not soak.fleet.listens(number)):
        soak.call_later(POLL_S, _wait_for_start, soak, number, boot)
        return
    if soak.stops.is_loaded and soak.rng.random() < AGAIN_SHARE:
        soak.call_later(soak.rng.uniform(*AGAIN_S), _stop_host, soak, number)
    else:
        soak.stopping.discard(number)


def is_starting(soak, number):
    """Return whether a host of a run with such stops is starting.

    SIGHUP ends a process that doesn't handle it yet.
    """
    if not soak.stops or soak.fleet.listens(number):
        return False
    boot = soak.fleet.ips[number], soak.fleet.start_counts[number]
    return boot not in soak.record.sigterms


def starve(soak):
    """A host gets a part of its processor time only."""
    number = soak.rng.randrange(len(soak.fleet.ips))
    soak.note_fault(soak.fleet.ips[number], "short of processor time",
                    STARVED_S)
    process = soak.fleet.processes[number]
    for period in range(round(STARVED_S / PERIOD_S)):
        soak.call_later(period * PERIOD_S, _signal, process, signal.SIGSTOP)
        soak.call_later((period + HELD_SHARE) * PERIOD_S, _signal, process,
                        signal.SIGCONT)


def _signal(process, number):
    if process.poll() is None:
        process.send_signal(number)


def come_again(soak, sent):
    """Have a caller that a stopping host refused come again elsewhere."""
    reply, request = sent.reply, sent.request
    if not stop_checks.is_refused_by_stop(reply):
        return
    left_s = request.deadline_s - (sent.ended_at - sent.at) - (
        reply.retry_after_s or 0.0)
    if left_s < MIN_LEFT_S:
        return
    soak.unfinished += 1
    soak.call_later(reply.retry_after_s or 0.0, _send_again, soak, sent,
                    left_s)


def _send_again(soak, sent, left_s):
    others = [ip for ip in soak.known_ips if ip != sent.ip]
    request = soak.new_request(sent.request.kind, None, None, limit_s=left_s)
    soak.record.came_again[sent.request.rid] = request.rid
    defer.Deferred.fromCoroutine(soak.send_to(
        soak.rng.choice(others or soak.fleet.ips), request)).addErrback(
            soak.record_failure)


KINDS = (stop_in_series, stop_two, stop_all)
