"""Learns how fast the engines of a service prefill prompts.

The time to a stream's first event is taken to be a fixed part, the same at
all engines of the service, plus the tokens that the engine had to read
divided by its rate. Both are learned from the first events that this host
receives, so a rate is the one beside the running streams of the engine.

The slowness (s a token) of an engine is a weighted mean of its recent
samples and of the service's slowness, which stands for a few samples. Each
sample counts by how much of its time is due to reading, and moves the
estimate by a bounded share (a Huber estimator with exponential forgetting).
"""

import dataclasses
import math

from crocuskeel.core.entry import pause_estimate

__all__ = ["INITIAL_TOKENS_PER_S", "Rates", "first_event_s", "forget",
           "may_pause", "new_rates", "note_first_event", "note_pause",
           "prefill_pause_s", "restart", "speed", "tokens_per_s"]

# Rate before any first event was observed: that of the slowest service.
INITIAL_TOKENS_PER_S = 40_000.0
# Fixed part before any first event was observed, and its upper bound, s.
INITIAL_FIXED_S = 0.05
MAX_FIXED_S = 0.25
# Error of a sample's time that does not depend on its tokens, s: a host knows
# what is queued at an engine with a delay of up to 0.1 s.
TIMING_ERROR_S = 0.04
# Samples whose reading took less than half of that, so that they have less
# weight than this for the rate, count for the fixed part only: many of them,
# with a fixed part that is 10 ms wrong, would outweigh all others.
MIN_SHARE = 0.2
# The initial rate counts like this part of a sample for the service, and the
# service's rate like so many samples for an engine.
INITIAL_WEIGHT = 0.2
SERVICE_WEIGHT = 2.0
# Upper bounds of the total weight of an engine's and of a service's samples.
# An engine that has changed must be followed within 15 samples: many of them
# have a weight of some 0.5, and with 7 instead of 4, rates that rose to twice
# the former ones were still 0.28 too low then.
MAX_WEIGHT = 4.0
MAX_SERVICE_WEIGHT = 30.0
# A sample moves an estimate by at most this share of it: an engine that was
# hung for seconds must not count as ten times slower. Before the service's
# samples have a weight of KNOWN_WEIGHT, the rate is an assumption, which may
# be three times too low.
MAX_SHIFT = 0.1
MAX_EARLY_SHIFT = 0.4
KNOWN_WEIGHT = 5.0
# Relative error of a sample beyond which it counts no more. With 1, no
# estimate becomes negative, and errors on both sides cancel out.
MAX_ERROR = 1.0
# A sample that would move the estimate by this many times the bound or more
# is a straggler.
STRAGGLER_FACTOR = 2.0
# Time constant with which samples fade, s, and the most that a time between
# two samples counts: the speed of an idle engine remains known.
FADE_S = 20.0
MAX_IDLE_S = 5.0
# Upper bound of the total weight of the samples of the fixed part, and of the
# difference that counts: most large ones are due to unknown queued prompts.
MAX_FIXED_WEIGHT = 10.0
MAX_FIXED_ERROR_S = 0.02
# Typical duration of a passing slowdown of a machine, s.
SLOWDOWN_S = 0.6
# Statements on how long work takes are taken to be within these bounds, %.
MIN_WORK_PERCENT = 10
MAX_WORK_PERCENT = 1000
# The mean of the engines is computed anew after samples of this share of
# them: the cost of a sample stays constant, and the mean of up to eight
# engines is exact.
MEAN_INTERVAL = 0.125


@dataclasses.dataclass(slots=True)
class _Engine:
    """Samples of an engine: their total weight and weighted slowness sum."""

    service_weight: float = SERVICE_WEIGHT
    weight: float = 0.0
    slowness_sum: float = 0.0
    sampled_at: float = -math.inf
    # When a straggler last came.
    straggled_at: float = -math.inf
    # Since when the engine states that work takes longer or shorter there.
    unusual_since: float = math.inf
    pauses: pause_estimate.PauseEstimate = dataclasses.field(
        default_factory=pause_estimate.PauseEstimate)


@dataclasses.dataclass(slots=True)
class Rates:
    """What is known of a service's engines; made by :func:`new_rates`."""

    slowness: float = 1 / INITIAL_TOKENS_PER_S
    weight: float = INITIAL_WEIGHT
    fixed_s: float = INITIAL_FIXED_S
    fixed_weight: float = 1.0
    engines: dict = dataclasses.field(default_factory=dict)
    # Mean of the engines, and the number of samples since it was computed.
    mean_tokens_per_s: float = INITIAL_TOKENS_PER_S
    samples_since_mean: int = 0
    # Pauses as they would be at an engine of the mean speed.
    pauses: pause_estimate.PauseEstimate = dataclasses.field(
        default_factory=pause_estimate.PauseEstimate)


def new_rates():
    """Return the Rates of a service of which nothing is known."""
    return Rates()


def note_first_event(rates, sid, tokens, took_s, now, work_percent=100):
    """Sample a stream's first event, which came ``took_s`` after sending.

    ``tokens`` is how many tokens the engine had to read: those queued for
    prefill when the stream was sent, and its own. ``work_percent`` is the
    engine's own statement how long work takes there at the moment, 100 for as
    usual. Estimates are for the usual speed.
    """
    work_percent = min(MAX_WORK_PERCENT, max(MIN_WORK_PERCENT, work_percent))
    engine = rates.engines.setdefault(sid, _Engine())
    error_s = _usual_s(engine, took_s, now, work_percent) - rates.fixed_s
    read_s = max(0, tokens) * _slowness(rates, engine)
    share = read_s ** 2 / (read_s ** 2 + TIMING_ERROR_S ** 2)
    # How much of the time was spent at the stated speed is not known.
    certainty = min(work_percent / 100, 100 / work_percent)
    if share >= MIN_SHARE:
        is_counted = _add_sample(rates, engine, error_s / tokens,
                                 share * certainty, now - took_s, now)
        if not is_counted:
            return
    _add_fixed_sample(rates, error_s - read_s, (1 - share) * certainty)


def _add_fixed_sample(rates, error_s, weight):
    rates.fixed_weight = min(rates.fixed_weight + weight, MAX_FIXED_WEIGHT)
    rates.fixed_s += (weight / rates.fixed_weight
                      * _clip(error_s, MAX_FIXED_ERROR_S))
    rates.fixed_s = min(MAX_FIXED_S, max(0.0, rates.fixed_s))


def _usual_s(engine, took_s, now, work_percent):
    """Return how long it would have taken at the engine's usual speed.

    The statement is of one moment. The slowdown is taken to have begun in the
    middle between the first statement that told of it and the sample before,
    at most half of its typical duration ago.
    """
    if work_percent == 100:
        engine.unusual_since = math.inf
        return took_s
    begun_s = min(SLOWDOWN_S, max(0.0, now - engine.sampled_at)) / 2
    engine.unusual_since = min(engine.unusual_since, now - begun_s)
    unusual_s = min(took_s, now - engine.unusual_since)
    return took_s - unusual_s * (1 - 100 / work_percent)


def _add_sample(rates, engine, slowness, weight, sent_at, now):
    """Add a sample of an engine's slowness; return whether it counts.

    Streams that were sent before a straggler came have waited for the same
    cause: only the first one of them counts.
    """
    _fade(engine, weight, now)
    known = _slowness(rates, engine)
    gain = weight / (engine.service_weight + engine.weight + weight)
    is_known = rates.weight >= KNOWN_WEIGHT
    limit = MAX_SHIFT if is_known else MAX_EARLY_SHIFT
    error = slowness / known - 1
    if gain * error > STRAGGLER_FACTOR * limit:
        if sent_at <= engine.straggled_at:
            return False
        engine.straggled_at = now
    slowness = known * (1 + _clip(error, min(MAX_ERROR, limit / gain)))
    engine.weight += weight
    engine.slowness_sum += weight * slowness
    _add_service_sample(rates, slowness, weight, limit)
    rates.samples_since_mean += 1
    if rates.samples_since_mean >= MEAN_INTERVAL * len(rates.engines):
        _update_mean(rates)
    return True


def _add_service_sample(rates, slowness, weight, limit):
    rates.weight = min(rates.weight, MAX_SERVICE_WEIGHT - weight) + weight
    shift = weight / rates.weight * (slowness / rates.slowness - 1)
    rates.slowness *= 1 + _clip(shift, limit)


def _fade(engine, weight, now):
    """Let old samples fade before one of a weight is added."""
    total = engine.service_weight + engine.weight
    idle_s = min(MAX_IDLE_S, max(0.0, now - engine.sampled_at))
    if not engine.weight:
        idle_s = 0.0
    kept = min(math.exp(-idle_s / FADE_S), (MAX_WEIGHT - weight) / total)
    engine.service_weight *= kept
    engine.weight *= kept
    engine.slowness_sum *= kept
    engine.sampled_at = max(engine.sampled_at, now)


def _clip(value, limit):
    return min(limit, max(-limit, value))


def _slowness(rates, engine):
    """Return the time that an engine takes for a token, s."""
    return (engine.service_weight * rates.slowness + engine.slowness_sum) / (
        engine.service_weight + engine.weight)


def _update_mean(rates):
    known = [1 / _slowness(rates, engine)
             for engine in rates.engines.values() if engine.weight]
    rates.mean_tokens_per_s = (
        sum(known) / len(known) if known else 1 / rates.slowness)
    rates.samples_since_mean = 0


def tokens_per_s(rates, sid):
    """Return how many tokens an engine prefills a second.

    That is the mean of the service's engines if this one is not known.
    """
    engine = rates.engines.get(sid)
    if engine is None or not engine.weight:
        return rates.mean_tokens_per_s
    return 1 / _slowness(rates, engine)


def first_event_s(rates, sid, tokens):
    """Return the expected time from sending to a stream's first event, s.

    ``tokens`` is what the engine has to read for it, as in
    :func:`note_first_event`.
    """
    return rates.fixed_s + tokens / tokens_per_s(rates, sid)


def speed(rates, sid):
    """Return an engine's rate relative to the mean, 1.0 if not known."""
    return tokens_per_s(rates, sid) / rates.mean_tokens_per_s


def note_pause(rates, sid, ahead_s, gap_s):
    """Sample a pause of a stream of ``gap_s``.

    ``ahead_s`` is how long the engine takes to prefill what was queued there
    as the pause began.
    """
    engine = rates.engines.setdefault(sid, _Engine())
    relative = speed(rates, sid)
    pause_estimate.add_sample(engine.pauses, ahead_s, gap_s)
    pause_estimate.add_sample(
        rates.pauses, ahead_s * relative, gap_s * relative)


def prefill_pause_s(rates, sid):
    """Return a stream's typical pause during continuous prefill, s.

    It is the 95th percentile at this engine, or that of the service scaled by
    this engine's speed, or None until enough is known.
    """
    estimate, relative = _pauses(rates, sid)
    if estimate.samples < pause_estimate.MIN_SAMPLES:
        return None
    return estimate.pause_s / relative


def may_pause(rates, sid, gap_s):
    """Say whether prefill at an engine may pause a stream longer than that.

    True until enough is known.
    """
    estimate, relative = _pauses(rates, sid)
    return pause_estimate.may_exceed(estimate, gap_s * relative)


def _pauses(rates, sid):
    """Return an engine's estimate and the speed that it applies to."""
    engine = rates.engines.get(sid)
    if (engine is not None
            and engine.pauses.samples >= pause_estimate.MIN_SAMPLES):
        return engine.pauses, 1.0
    return rates.pauses, speed(rates, sid)


def forget(rates, sids):
    """Keep only what is known of the engines in ``sids``."""
    kept = set(sids)
    rates.engines = {sid: engine for sid, engine in rates.engines.items()
                     if sid in kept}
    _update_mean(rates)


def restart(rates, sid):
    """Drop what is known of an engine."""
    if rates.engines.pop(sid, None) is not None:
        _update_mean(rates)
