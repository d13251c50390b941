"""Attempts on backend servers: opened, progressing, ended."""

from crocuskeel.core import backends
from crocuskeel.core.door import replaying
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import problems

__all__ = ["first_byte_s", "open_attempt", "opened", "progressed",
           "silence_s"]

FIRST_BYTE_MIN_S = 3.0
FIRST_BYTE_TARGETS = 4.0
SILENCE_MIN_S = 2.0
SILENCE_TARGETS = 20.0


def open_attempt(daemon, req, now):
    """Send the request to the engine whose slot it holds."""
    req.stage = state.Stage.RUNNING
    req.opened_attempts += 1
    req.earlier = req.outcome
    req.outcome = problems.Outcome.UNKNOWN
    req.tokens = 0
    req.forwarded = 0
    req.resumes = 0
    req.lost_end = ""
    backend = backends.get(daemon, req.engine)
    attempt = effects.OpenAttempt(
        req.rid, req.attempt, req.engine, backend.url, req.policy.tier,
        first_byte_s(req, now), silence_s(req.policy), _replayable(req),
        req.model)
    return [reporting.record(req, "opened", now), attempt]


def _replayable(req):
    # A stream is kept too: its caller may come back for the rest.
    return bool(req.arrival.idempotency_key) or req.arrival.stream


def first_byte_s(req, now):
    """Return how long the first byte may take, seconds.

    A connection that went silent for good shows as no byte at all, on
    each attempt anew: the span is a small multiple of the target. What
    may not be repeated gets until its deadline: giving it up early
    would turn a slow answer into an unknown outcome. So does an
    engine's answer in one piece, whose first byte comes with its last.
    """
    targets = FIRST_BYTE_TARGETS * req.policy.target_ttft_s
    span = max(FIRST_BYTE_MIN_S, targets)
    left = req.deadline_at - now
    in_one = req.policy.kind == "engine" and not req.arrival.stream
    return max(span, left) if in_one or not req.repeatable else span


def silence_s(policy):
    """Return how long a stream may be without traffic, seconds."""
    return max(SILENCE_MIN_S, SILENCE_TARGETS * policy.target_itl_s)


def opened(daemon, req, event, now):
    """The first byte came; the caller is getting its answer."""
    if not _is_open(req, event) or req.opened:
        return []
    req.opened = True
    req.ttft_s = now - req.arrived_at
    out = [reporting.record(req, "first_token", now,
                            ttft_s=event.ttft_s)]
    return out + replaying.start_watchers(daemon, req)


def progressed(daemon, req, event):
    """Note tokens produced; the dispatcher is told in batches."""
    if not _is_open(req, event) or event.tokens <= req.tokens:
        return []
    req.tokens = event.tokens
    daemon.door.cells[req.cell].progress[req.rid] = event.tokens
    return []


def _is_open(req, event):
    stages = (state.Stage.RUNNING, state.Stage.RESUMING)
    return req.stage in stages and req.attempt == event.attempt
