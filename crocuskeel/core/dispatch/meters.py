"""Rates of events, smoothed over a few seconds."""

import dataclasses
import math

__all__ = ["Meter", "count_events", "new_meter", "rate"]

TIME_CONSTANT_S = 5.0


@dataclasses.dataclass(slots=True)
class Meter:
    """Exponentially decaying count of events; see :func:`rate`."""

    value: float = 0.0
    updated_at: float = 0.0
    started_at: float | None = None


def new_meter():
    """Return a meter that has counted nothing."""
    return Meter()


def count_events(meter, now, count=1):
    """Count events at ``now``."""
    if meter.started_at is None:
        meter.started_at = meter.updated_at = now
    meter.value = _decayed(meter, now) + count
    meter.updated_at = now


def rate(meter, now):
    """Return events per second over about ``TIME_CONSTANT_S``."""
    if meter.started_at is None:
        return 0.0
    # Corrects for a meter that has run for less than its time constant.
    # Otherwise the rate would start near 0 and the first estimates of
    # waits would be far too long.
    covered = 1.0 - math.exp(
        -max(now - meter.started_at, 0.5) / TIME_CONSTANT_S)
    return _decayed(meter, now) / TIME_CONSTANT_S / covered


def _decayed(meter, now):
    return meter.value * math.exp(
        -(now - meter.updated_at) / TIME_CONSTANT_S)
