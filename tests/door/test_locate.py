"""Where callers are sent."""

import collections
import random
import unittest

from crocuskeel.core.door import locating
from tests.door import driver

DOMAINS = "aaabbbccc"


def fleet(loads=(0.0,) * 9):
    """Return nine hosts in three failure domains."""
    return [driver.member(f"h{n}", load=load, domain=DOMAINS[n])
            for n, load in enumerate(loads)]


def first_choices(members, domain="", dispatchers=frozenset()):
    """Count the first addresses of many answers."""
    rng = random.Random(3)
    found = collections.Counter()
    for _ in range(3000):
        chosen = locating.choose(members, domain, dispatchers, rng)
        assert len({one.domain for one in chosen}) >= 2
        found[chosen[0].host] += 1
    return found


class Choose(unittest.TestCase):

    def test_spread(self):
        """One host gets far more callers than the others.

        All devices of a desk share one token; an order that hangs on
        the caller sends them all to one host.
        """
        counts = first_choices(fleet())
        self.assertLess(max(counts.values()), 1.3 * min(counts.values()))

    def test_domain(self):
        """A caller is sent far away though hosts nearby are free.

        Or it has only addresses of its own domain when that is lost.
        """
        self.assertEqual({"h3", "h4", "h5"},
                         set(first_choices(fleet(), "b")))

    def test_load(self):
        """Callers go on to a crowded domain while others are idle."""
        loads = (0.9, 0.9, 0.9) + (0.1,) * 6
        counts = first_choices(fleet(loads), "a")
        self.assertLess(sum(counts[h] for h in ("h0", "h1", "h2")), 300)

    def test_dispatcher(self):
        """A preferred host gets more callers but not nearly all."""
        counts = first_choices(fleet(), "", frozenset(("h0",)))
        self.assertGreater(counts["h0"], max(
            counts[f"h{n}"] for n in range(1, 9)))
        self.assertLess(counts["h0"], 900)
