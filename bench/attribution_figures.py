"""Figures of finding the prompt parts that cause crashes: CPU time.

Each host that hears of a crash attributes all that it knows, by
``crocuskeel.core.part_causes``. Prints one JSON object per figure: name,
value, unit, n, and the limit where one is set.

Run as ``python -m bench.attribution_figures``.
"""

import json
import time

from crocuskeel.core import part_causes
from tests.quarantine import crash_samples

__all__ = ["main"]

SIZES = (64, 128, 256, 512)
# A host must have attributed so many crashes within this CPU time, s.
LIMITED_SIZE = 256
LIMIT_S = 1.0
ROUNDS = 5


def _attribute_s(count):
    """Return the longest CPU time of several attributions, s."""
    crashes = dict(enumerate(crash_samples.many_crashes(count)))
    is_known_sound = frozenset(crash_samples.SOUND).__contains__
    longest_s = 0.0
    for _ in range(ROUNDS):
        began = time.process_time()
        part_causes.attribute(crashes, is_known_sound)
        longest_s = max(longest_s, time.process_time() - began)
    return longest_s


def main():
    """Print the figures."""
    for size in SIZES:
        took_s = _attribute_s(size)
        row = {"name": "attribute_max", "value": round(took_s, 4),
               "unit": "s", "n": size}
        if size == LIMITED_SIZE:
            row.update(limit=LIMIT_S, is_within=took_s < LIMIT_S)
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
