"""Attempts on backend servers: opening and progress."""

from crocuskeel.core import backends
from crocuskeel.core import effects
from crocuskeel.core.frontend import replaying
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state
from crocuskeel.core import problems

__all__ = ["first_byte_timeout_s", "open_attempt", "opened", "progressed",
           "silence_timeout_s"]

MIN_FIRST_BYTE_TIMEOUT_S = 3.0
FIRST_BYTE_TARGET_FACTOR = 4.0
MIN_SILENCE_TIMEOUT_S = 2.0
SILENCE_TARGET_FACTOR = 20.0


def open_attempt(daemon, req, now):
    """Open an attempt at the engine whose slot the request holds."""
    req.stage = state.Stage.RUNNING
    req.opened_attempts += 1
    req.earlier_outcome = req.outcome
    req.outcome = problems.Outcome.UNKNOWN
    req.tokens = 0
    req.forwarded = 0
    req.resumes = 0
    req.first_lost_end = ""
    backend = backends.get(daemon, req.engine)
    attempt = effects.OpenAttempt(
        req.rid, req.attempt, req.engine, backend.url, req.policy.tier,
        first_byte_timeout_s(req, now), silence_timeout_s(req.policy),
        _replayable(req), req.model)
    return [reporting.record(req, "opened", now), attempt]


def _replayable(req):
    # A stream is retained too: its caller may resume it.
    return bool(req.arrival.idempotency_key) or req.arrival.stream


def first_byte_timeout_s(req, now):
    """Return the timeout for the first byte in seconds.

    A dead connection never delivers a byte, and each attempt waits again,
    so the timeout is a small multiple of the target. A non-repeatable
    request gets until its deadline, because cancelling it early would
    turn a slow answer into an unknown outcome. So does an engine's
    non-streamed answer, whose first byte comes with its last.
    """
    target_multiple = FIRST_BYTE_TARGET_FACTOR * req.policy.target_ttft_s
    timeout_s = max(MIN_FIRST_BYTE_TIMEOUT_S, target_multiple)
    remaining_s = req.deadline_at - now
    not_streamed = req.policy.kind == "engine" and not req.arrival.stream
    return (max(timeout_s, remaining_s)
            if not_streamed or not req.repeatable else timeout_s)


def silence_timeout_s(policy):
    """Return the timeout for a stream without traffic in seconds."""
    return max(MIN_SILENCE_TIMEOUT_S,
               SILENCE_TARGET_FACTOR * policy.target_itl_s)


def opened(daemon, req, event, now):
    """Handle the first byte of an answer."""
    if not _is_open(req, event) or req.answer_started:
        return []
    req.answer_started = True
    req.ttft_s = now - req.arrived_at
    out = [reporting.record(req, "first_token", now,
                            ttft_s=event.ttft_s)]
    return out + replaying.start_watcher_replays(daemon, req)


def progressed(daemon, req, event):
    """Record tokens produced; the dispatcher is sent batches."""
    if not _is_open(req, event) or event.tokens <= req.tokens:
        return []
    req.tokens = event.tokens
    daemon.frontend.cells[req.cell].unreported_tokens[req.rid] = event.tokens
    return []


def _is_open(req, event):
    stages = (state.Stage.RUNNING, state.Stage.RESUMING)
    return req.stage in stages and req.attempt == event.attempt
