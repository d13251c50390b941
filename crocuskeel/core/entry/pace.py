"""What the engines of a service are seen to do: how long streams pause.

Nothing of this is configured, and engines differ: it is learned from the
streams that pass this host.
"""

import dataclasses

__all__ = ["Pace", "note_gap", "of_service", "pauses_longer"]

# The pause that this share of all pauses under steady reading keeps.
QUANTILE = 0.95
# An estimate moves by this share of itself with a sample: it forgets
# some two hundred samples ago.
STEP = 0.1
# Reading times are known to within this factor.
ENOUGH = 1.5
# An estimate counts from so many samples.
SAMPLES_LEAST = 20
# A stream has several pauses, and the longest of them decides: it is this
# many times as long as the quantile of one.
MARGIN = 1.15


@dataclasses.dataclass(slots=True)
class Pace:
    """The pause of a stream while its engine reads on and on, s."""

    gap_s: float = 0.0
    samples: int = 0


def of_service(host, service):
    """Return the Pace of a service's engines."""
    return host.paces.setdefault(service, Pace())


def note_gap(pace, ahead_s, gap_s):
    """Take a pause of a stream whose engine had ``ahead_s`` to read.

    It counts if there was more to read than the longest known pause, as
    it is then the engine's step that ends a pause and not the prompt's
    end. One much longer than all reading has another cause. The estimate
    of the quantile goes up by its share with a longer pause and down by
    the rest with a shorter one (Ma, Muthukrishnan, Sandler: Frugal
    Streaming for Estimating Quantiles, 2013).
    """
    if not gap_s <= ahead_s * ENOUGH or ahead_s < ENOUGH * pace.gap_s:
        return
    pace.samples += 1
    if pace.samples <= SAMPLES_LEAST:
        # A host that has just started takes the longest: from the first
        # one on, the estimate was too low for five seconds.
        pace.gap_s = max(pace.gap_s, gap_s)
    elif gap_s > pace.gap_s:
        pace.gap_s *= 1 + STEP * QUANTILE
    else:
        pace.gap_s *= 1 - STEP * (1 - QUANTILE)


def pauses_longer(pace, gap_s):
    """Say whether reading may hold up a stream for more than ``gap_s``.

    An engine reads a bounded part of a prompt in each step, so on some
    no prompt is long enough. Until it is known, it may.
    """
    if pace.samples < SAMPLES_LEAST:
        return True
    return pace.gap_s * MARGIN > gap_s
