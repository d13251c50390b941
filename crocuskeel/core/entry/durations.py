"""How long requests take, from their sending to the end of their answer.

The load that it answers: streams whose lengths nobody knows in advance, at a
host that has only seconds left. What is expected of a request is what the
longest of the latest ones of its route took: a mean would be exceeded by every
second stream. More tokens may take longer in proportion, but fewer needn't
take less, as most answers end before their limit; so a request is compared
with those whose limit isn't much larger. Of a route with few requests so far
nothing is known: the first ones that a host serves after its start are of
shorter routes. Requests without a limit of tokens say nothing about others.
What other hosts tell of their requests counts as this host's own.
"""

import collections
import dataclasses
import statistics

__all__ = ["Durations", "MAX_ROUTES", "MAX_TOLD_ROUTES",
           "MAX_TOLD_SAMPLES", "MIN_SAMPLES", "SAMPLES", "expected_s",
           "merge", "new_durations", "note_gap", "note_served", "rows"]

# Number of requests of a route that are remembered, and that are needed.
SAMPLES = 64
MIN_SAMPLES = 8
# A request is compared with those of up to this many times its tokens.
MAX_TOKENS_FACTOR = 2
# Routes that are remembered; those that served least recently yield.
MAX_ROUTES = 1024
# Weight of the latest gap between two events.
GAP_WEIGHT = 1 / 32
# Routes that another host is told of, the ones that served last, and their
# samples: the answers of some hosts fit the buffer of a socket together.
MAX_TOLD_ROUTES = 64
MAX_ROWS_SAMPLES = 1024
# Samples of a route that are kept of what others tell.
MAX_TOLD_SAMPLES = 1024
# What is expected is exceeded by one request in so many, and by load that
# rises by more than this share while a request runs.
RARE = 1000
MARGIN_SHARE = 0.1
_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """One request: time to its first event, and from there to its end, s.

    A call has no first event. ``tokens`` is its limit, 1 without one;
    ``events`` came after the first one.
    """

    first_s: float
    rest_s: float
    tokens: int
    events: int

    def rest_at(self, gap_s):
        """Return how long the rest takes with such gaps between events, s."""
        return max(self.rest_s, self.events * gap_s)


@dataclasses.dataclass(slots=True)
class Durations:
    """The latest requests by route, see _key; ``told`` are other hosts'.

    ``gaps`` are the latest seconds between events of the route's streams.
    ``expected`` is what was worked out of these, by route and tokens: a host
    that is stopping asks again and again for all that wait.
    """

    routes: dict = dataclasses.field(default_factory=dict)
    told: dict = dataclasses.field(default_factory=dict)
    gaps: dict = dataclasses.field(default_factory=dict)
    expected: dict = dataclasses.field(default_factory=dict)


def new_durations():
    """Return the durations of a host that has served nothing."""
    return Durations()


def _key(pending):
    return (pending.service, pending.route.name,
            pending.request.prompt is not None)


def _tokens(pending):
    prompt = pending.request.prompt
    return max(1, prompt.max_output_tokens) if prompt is not None else 1


def note_gap(known, pending, gap_s):
    """Record the time between two events of a stream, s."""
    key = _key(pending)
    former_s = known.gaps.get(key, gap_s)
    known.gaps[key] = former_s + GAP_WEIGHT * (gap_s - former_s)
    known.expected.clear()


def note_served(known, pending, attempt, now):
    """Record a request whose whole answer has ended now.

    ``attempt`` is the one that was forwarded. A stream that began at another
    attempt says nothing about a whole one, and one whose caller read slowly
    nothing about others.
    """
    if (pending.request.is_taken_up or pending.was_paused
            or pending.attempts[0] is not attempt):
        return
    known.expected.clear()
    samples = known.routes.pop(_key(pending), None)
    if samples is None:
        samples = collections.deque(maxlen=SAMPLES)
        if len(known.routes) >= MAX_ROUTES:
            oldest = next(iter(known.routes))
            del known.routes[oldest]
            known.gaps.pop(oldest, None)
    known.routes[_key(pending)] = samples
    first_at = min(attempt.opened_at, now)
    samples.append(_Sample(first_at - attempt.sent_at, now - first_at,
                           _tokens(pending), attempt.events))


def rows(known):
    """Return what another host is told, as rows of DurationsTold.

    The route that served last comes first, as the last rows of a datagram
    that is too large are left out.
    """
    latest = list(reversed(known.routes.items()))[:MAX_TOLD_ROUTES]
    count = MAX_ROWS_SAMPLES // max(1, len(latest))
    return tuple((*key, tuple(
        (round(each.first_s * 1000), round(each.rest_s * 1000), each.tokens,
         each.events) for each in list(samples)[-count:]))
        for key, samples in latest)


def merge(known, told):
    """Note rows that another host tells, of up to MAX_ROUTES routes."""
    known.expected.clear()
    for service, route, is_prompt, samples in told:
        key = (service, route, is_prompt)
        if key not in known.told and len(known.told) >= MAX_ROUTES:
            continue
        kept = known.told.setdefault(
            key, collections.deque(maxlen=MAX_TOLD_SAMPLES))
        kept.extend(_Sample(first_ms / 1000, rest_ms / 1000, tokens, events)
                    for first_ms, rest_ms, tokens, events in samples)


def expected_s(known, pending):
    """Return the time within which a request ends, s; None if unknown."""
    key, tokens = _key(pending), _tokens(pending)
    if (key, tokens) not in known.expected:
        known.expected[key, tokens] = _expected_s(known, key, tokens)
    return known.expected[key, tokens]


def _expected_s(known, key, tokens):
    samples = [*known.routes.get(key, ()), *known.told.get(key, ())]
    if len(samples) < MIN_SAMPLES:
        return None
    compared = [sample for sample in samples
                if sample.tokens <= MAX_TOKENS_FACTOR * tokens]
    if len(compared) < MIN_SAMPLES:
        compared = samples
    gap_s = known.gaps.get(key, 0.0)
    rests = [sample.rest_at(gap_s) * max(1.0, tokens / sample.tokens)
             for sample in compared]
    longest_s = (max(sample.first_s for sample in compared)
                 + _longest_s(rests))
    return longest_s * (1.0 + MARGIN_SHARE)


def _longest_s(rests):
    """Return how long the rest of one request in RARE takes at most, s.

    The longest of few is often exceeded. How far is told by how far that one
    exceeds the median, as if lengths were log-normal.
    """
    longest_s, median_s = max(rests), statistics.median(rests)
    if not median_s:
        return longest_s
    seen = _NORMAL.inv_cdf(len(rests) / (len(rests) + 1))
    missing = max(0.0, _NORMAL.inv_cdf(1.0 - 1.0 / RARE) - seen) / seen
    return longest_s * (longest_s / median_s) ** missing
