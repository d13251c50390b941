"""Estimates how long streams pause during prefill at a service's engines.

Engines differ and their pauses are not configured, so the estimate is
learned from the streams that this host relays.
"""

import dataclasses

__all__ = ["PauseEstimate", "add_sample", "estimate_of", "may_exceed"]

# The estimated quantile of the pauses during continuous prefill.
QUANTILE = 0.95
# A sample changes the estimate by this share of it: samples older than some
# two hundred others no longer count.
STEP = 0.1
# Prefill times are known to within this factor.
PREFILL_TIME_ERROR = 1.5
# Samples before an estimate is used.
MIN_SAMPLES = 20
# The longest of a stream's several pauses decides whether it is late: it is
# this many times as long as the quantile of a single pause.
LONGEST_PAUSE_FACTOR = 1.15


@dataclasses.dataclass(slots=True)
class PauseEstimate:
    """Estimated pause of a stream during continuous prefill, s."""

    pause_s: float = 0.0
    samples: int = 0


def estimate_of(host, service):
    """Return the PauseEstimate of a service's engines."""
    return host.stream_pauses.setdefault(service, PauseEstimate())


def add_sample(estimate, ahead_s, gap_s):
    """Sample a pause of a stream whose engine had ``ahead_s`` of prefill.

    Only pauses with clearly more prefill ahead than the estimate count: then
    a pause ends with the engine's step and not with the prompt. A pause
    much longer than all the prefill has another cause. The estimate of the
    quantile rises by QUANTILE of a step after a longer pause and falls by
    the rest of it after a shorter one (Ma, Muthukrishnan, Sandler: Frugal
    Streaming for Estimating Quantiles, 2013).
    """
    if (not gap_s <= ahead_s * PREFILL_TIME_ERROR
            or ahead_s < PREFILL_TIME_ERROR * estimate.pause_s):
        return
    estimate.samples += 1
    if estimate.samples <= MIN_SAMPLES:
        # The longest of the first samples: updated in steps from the first
        # one on, the estimate of a new host was too low for five seconds.
        estimate.pause_s = max(estimate.pause_s, gap_s)
    elif gap_s > estimate.pause_s:
        estimate.pause_s *= 1 + STEP * QUANTILE
    else:
        estimate.pause_s *= 1 - STEP * (1 - QUANTILE)


def may_exceed(estimate, gap_s):
    """Say whether prefill may pause a stream for more than ``gap_s``.

    An engine prefills a bounded chunk of a prompt in each step, so on some
    engines no prompt causes such a pause. True until enough is known.
    """
    if estimate.samples < MIN_SAMPLES:
        return True
    return estimate.pause_s * LONGEST_PAUSE_FACTOR > gap_s
