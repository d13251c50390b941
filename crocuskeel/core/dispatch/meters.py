"""Rates of events, smoothed over a few seconds."""

import dataclasses
import math

__all__ = ["Meter", "bump", "new_meter", "rate"]

SPAN_S = 5.0


@dataclasses.dataclass(slots=True)
class Meter:
    """Exponentially decaying count of events; see :func:`rate`."""

    value: float = 0.0
    at: float = 0.0
    born: float | None = None


def new_meter():
    """Return a meter that has counted nothing."""
    return Meter()


def bump(meter, now, count=1):
    """Count events at ``now``."""
    if meter.born is None:
        meter.born = meter.at = now
    meter.value = _decayed(meter, now) + count
    meter.at = now


def rate(meter, now):
    """Return events a second over about the last ``SPAN_S``."""
    if meter.born is None:
        return 0.0
    # A young meter has seen less than its span; without this the rate
    # would start near 0 and the first estimates of waits would be huge.
    seen = 1.0 - math.exp(-max(now - meter.born, 0.5) / SPAN_S)
    return _decayed(meter, now) / SPAN_S / seen


def _decayed(meter, now):
    return meter.value * math.exp(-(now - meter.at) / SPAN_S)
