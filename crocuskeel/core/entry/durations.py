"""How long requests take, from their sending to the end of their answer.

The load that it answers: streams whose lengths nobody knows in advance, at a
host that has only seconds left. What is expected of a request is what the
longest of the latest ones of its route took: a mean would be exceeded by every
second stream. More tokens may take longer in proportion, but fewer needn't
take less, as most answers end before their limit; so a request is compared
with those whose limit isn't much larger. Of a route with few requests so far
nothing is known: the first ones that a host serves after its start are of
shorter routes. Requests without a limit of tokens say nothing about others.
"""

import collections
import dataclasses
import statistics

__all__ = ["Durations", "expected_s", "new_durations", "note_served"]

# Number of requests of a route that are remembered, and that are needed.
SAMPLES = 64
MIN_SAMPLES = 3
# A request is compared with those of up to this many times its tokens.
MAX_TOKENS_FACTOR = 2
# Routes that are remembered; those that served least recently yield.
MAX_ROUTES = 1024
# What is expected exceeds the longest request by as much as that exceeds the
# median, within these shares of it, as load may rise while a request runs; by
# the larger share as long as there are too few to know how they vary.
MIN_MARGIN_SHARE = 0.1
MAX_MARGIN_SHARE = 0.25
VARIED_SAMPLES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """One request: time to its first event, and from there to its end, s.

    A call has no first event. ``tokens`` is its limit, 1 without one.
    """

    first_s: float
    rest_s: float
    tokens: int


@dataclasses.dataclass(slots=True)
class Durations:
    """The latest requests by route, see _key."""

    routes: dict = dataclasses.field(default_factory=dict)


def new_durations():
    """Return the durations of a host that has served nothing."""
    return Durations()


def _key(pending):
    return (pending.service, pending.route.name,
            pending.request.prompt is not None)


def _tokens(pending):
    prompt = pending.request.prompt
    return max(1, prompt.max_output_tokens) if prompt is not None else 1


def note_served(known, pending, attempt, now):
    """Record a request whose whole answer has ended now.

    ``attempt`` is the one that was forwarded. A stream that began at another
    attempt says nothing about a whole one, and one whose caller read slowly
    nothing about others.
    """
    if (pending.request.is_taken_up or pending.was_paused
            or pending.attempts[0] is not attempt):
        return
    samples = known.routes.pop(_key(pending), None)
    if samples is None:
        samples = collections.deque(maxlen=SAMPLES)
        if len(known.routes) >= MAX_ROUTES:
            del known.routes[next(iter(known.routes))]
    known.routes[_key(pending)] = samples
    first_at = min(attempt.opened_at, now)
    samples.append(_Sample(first_at - attempt.sent_at, now - first_at,
                           _tokens(pending)))


def expected_s(known, pending):
    """Return the time within which a request ends, s; None if unknown."""
    samples = known.routes.get(_key(pending), ())
    if len(samples) < MIN_SAMPLES:
        return None
    tokens = _tokens(pending)
    compared = [sample for sample in samples
                if sample.tokens <= MAX_TOKENS_FACTOR * tokens]
    if len(compared) < MIN_SAMPLES:
        compared = samples
    rests = [sample.rest_s * max(1.0, tokens / sample.tokens)
             for sample in compared]
    longest_s = max(sample.first_s for sample in compared) + max(rests)
    return longest_s + _margin_s(longest_s, rests)


def _margin_s(longest_s, rests):
    """Return by how much a request may take longer than the longest, s."""
    most_s = MAX_MARGIN_SHARE * longest_s
    if len(rests) < VARIED_SAMPLES:
        return most_s
    spread_s = max(rests) - statistics.median(rests)
    return min(most_s, max(MIN_MARGIN_SHARE * longest_s, spread_s))
