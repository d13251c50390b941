"""Faults of prompt parts: engines crash on each prompt that has one."""

from tools.soak import checks
from tools.soak import engine as engines

__all__ = ["PART_SEEDS", "send_bad_part"]

# Runs of these seeds have prompt parts that crash engines.
PART_SEEDS = range(1500, 1600)
# How long and how often prompts with such a part come, s.
SPAN_S = 9.0
INTERVAL_S = 0.3


def send_bad_part(soak):
    """Prompts with one part crash each engine; no two of them are alike.

    At times streams end with their connections meanwhile.
    """
    soak.last_number += 1
    part = b"%s-%d" % (engines.BAD_PART, soak.last_number)
    form = soak.rng.choice(sorted(engines.CRASH_FORMS))
    soak.note_fault("plan", "bad prompt part", SPAN_S)
    if soak.rng.random() < 0.5:
        soak.set_unframed(True)
        soak.call_later(SPAN_S, soak.set_unframed, False)
    for number in range(round(SPAN_S / INTERVAL_S)):
        soak.call_later(
            INTERVAL_S * number, soak.send_body,
            soak.rng.choice(checks.STREAMS),
            b"%s:%s:%s-%d" % (engines.BAD_PART, form, part, number), part)
