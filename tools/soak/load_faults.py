"""Bursts of all requests, and of one class beside the usual load."""

from tools.soak import checks

__all__ = ["CLASS_BURST_SEEDS", "burst", "burst_class"]

# Runs of these seeds have bursts of one class.
CLASS_BURST_SEEDS = range(1600, 1700)
SPAN_S = 3.0
# A class usually has some 8 requests a second.
REQUESTS_A_SECOND = 40


def burst(soak):
    """Callers send four times as many requests."""
    soak.note_fault("plan", "burst", 2.0)
    soak.burst(4.0)
    soak.call_later(2.0, soak.burst, 1.0)


def burst_class(soak):
    """Callers send five times as many requests of one class besides.

    One such burst follows the other: several at once would be a lasting
    overload of most classes.
    """
    now = soak.reactor.seconds()
    if now < soak.class_burst_until:
        return
    soak.class_burst_until = now + SPAN_S
    kind = soak.rng.choice(checks.KINDS)
    soak.note_fault("plan", f"burst of {kind}", SPAN_S)
    for number in range(round(SPAN_S * REQUESTS_A_SECOND)):
        soak.call_later(number / REQUESTS_A_SECOND, soak.send_body, kind,
                        None)
