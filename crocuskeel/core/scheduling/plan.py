"""Whether a request waits for an engine, and when a rejected one returns.

A request is rejected at once if it isn't expected to begin within the time
that it may wait. The rejection names the time at which it is expected to be
accepted, so that the caller neither returns too early nor later than needed.
"""

import dataclasses
import math

__all__ = ["Decision", "Rejecting", "Work", "decide", "new_gate", "update"]

# More urgent classes may arrive faster than engines read their prompts. At
# least this fraction of the rate counts as left for the less urgent ones, so
# that their expected wait is finite and falls as soon as the burst ends.
MIN_RATE_SHARE = 0.1
# A class that is rejected is accepted again at this fraction of the bound. At
# 3 times the capacity, with reports 0.3 s late, each of 6 hosts turned between
# queueing and rejecting 23 times a second without the gap and 11 times with
# it. The queue then varies more, from 2.9 to 4.3 s at a bound of 4 s instead
# of 3.7 to 4.5 s.
RESUME_SHARE = 0.8
# Range of the time until a rejected caller may retry: this fraction around
# the expected time, so that callers rejected together don't return together.
RETRY_SPREAD = 0.25
# Minimum time until a retry, s: other hosts' reports are no more frequent.
MIN_RETRY_S = 0.1
# Maximum time until a retry as a fraction of the time left, which leaves time
# for a third attempt and for the answer.
MAX_RETRY_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request and the work ahead of it; times in s, tokens of prompts.

    ``tokens_ahead`` wait at hosts in classes as urgent or more,
    ``queued_tokens`` are at engines and yet to be read, at ``tokens_per_s``
    by all usable engines together. More urgent classes bring
    ``urgent_tokens_per_s``. The request has ``own_tokens`` to be read. Its
    first event is on time within ``target_s``, which only logs show. It has
    waited for ``waited_s`` of at most ``max_wait_s`` since this attempt of
    its caller arrived; ``max_wait_s`` is a share of the time that the caller
    had left then, so it shrinks with each attempt and bounds the backlog.
    ``left_s`` are left until the caller's limit.
    """

    tokens_ahead: float
    queued_tokens: float
    tokens_per_s: float
    urgent_tokens_per_s: float
    own_tokens: float
    target_s: float
    left_s: float
    waited_s: float
    max_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do with a request; times in s.

    ``wait_s`` is how long it may still wait, None if it is rejected at once.
    ``retry_s`` is when its caller may retry then, None if it waits.
    ``expected_s`` is the expected time until its first event, infinite
    without an engine. ``cause`` is "wait"; "backlog" if it is expected to
    wait for too long; "no_servers" if there is no usable engine, whether it
    waits for one or not; "time" if it has waited for as long as it may.
    """

    wait_s: float | None
    retry_s: float | None
    expected_s: float
    cause: str


@dataclasses.dataclass(slots=True)
class Rejecting:
    """Whether a class is being rejected for its backlog."""

    is_rejecting: bool = False


def new_gate():
    """Return the state of a class of which nothing was rejected yet."""
    return Rejecting()


def update(gate, decision):
    """Record a decision on a request of the class.

    A request of a class below its floor waits whatever is expected: only one
    that is accepted at the lower bound ends the rejections.
    """
    if decision.cause == "backlog":
        gate.is_rejecting = True
    elif (decision.wait_s is not None
          and decision.expected_s <= RESUME_SHARE * decision.wait_s):
        gate.is_rejecting = False


def decide(work, is_rejecting, jitter, is_below_floor=False):
    """Return the Decision on a request that no engine can begin now.

    ``is_rejecting`` is that of its class. ``jitter``, in [0, 1), is drawn by
    the caller and spreads the retries. A class that is below its floor
    (``is_below_floor``) isn't rejected for its backlog.
    """
    expected_s = _expected_s(work)
    rest_s = min(work.max_wait_s - work.waited_s, work.left_s)
    bound_s = rest_s * (RESUME_SHARE if is_rejecting else 1.0)
    has_servers = work.tokens_per_s > 0
    if rest_s <= 0:
        cause = "time" if has_servers else "no_servers"
    elif not has_servers:
        return Decision(rest_s, None, expected_s, "no_servers")
    elif expected_s <= bound_s or is_below_floor:
        return Decision(rest_s, None, expected_s, "wait")
    else:
        cause = "backlog"
    retry_s = _retry_s(expected_s - max(0.0, bound_s), work.left_s, jitter)
    return Decision(None, retry_s, expected_s, cause)


def _expected_s(work):
    """Return the expected time until the request's first event, s."""
    if work.tokens_per_s <= 0:
        return math.inf
    tokens = work.tokens_ahead + work.queued_tokens + work.own_tokens
    return tokens / max(work.tokens_per_s - work.urgent_tokens_per_s,
                        MIN_RATE_SHARE * work.tokens_per_s)


def _retry_s(excess_s, left_s, jitter):
    """Return the time until a retry, s.

    ``excess_s`` is how much longer it would wait than it may. The bounds
    apply to the whole range of the spread: callers at a bound would return
    together otherwise.
    """
    latest_s = max(0.0, left_s) * MAX_RETRY_SHARE
    middle_s = min(max(excess_s, MIN_RETRY_S / (1 - RETRY_SPREAD)),
                   latest_s / (1 + RETRY_SPREAD))
    return middle_s * (1 + RETRY_SPREAD * (2 * jitter - 1))
