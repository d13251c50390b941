"""Tests of the entry hosts that callers are sent to."""

import collections
import random
import unittest

from crocuskeel.core.frontend import locating
from tests.frontend import driver

DOMAINS = "aaabbbccc"


def make_members(loads=(0.0,) * 9):
    """Return nine hosts in three failure domains."""
    return [driver.member(f"h{n}", load=load, domain=DOMAINS[n])
            for n, load in enumerate(loads)]


def first_choices(members, domain="", dispatchers=frozenset()):
    """Count how often each host is the first of an answer."""
    rng = random.Random(3)
    found = collections.Counter()
    for _ in range(3000):
        chosen = locating.choose_hosts(members, domain, dispatchers, rng)
        assert len({member.domain for member in chosen}) >= 2
        found[chosen[0].host] += 1
    return found


class ChooseHostsTest(unittest.TestCase):

    def test_callers_are_distributed_evenly(self):
        """One host gets far more callers than the others.

        Many devices share one caller's token, so an order derived from
        the caller sends them all to one host.
        """
        counts = first_choices(make_members())
        self.assertLess(max(counts.values()), 1.3 * min(counts.values()))

    def test_own_domain_is_preferred(self):
        """A caller is sent to another domain though its own has room.

        Or it only has addresses of its own domain when that one fails.
        """
        self.assertEqual({"h3", "h4", "h5"},
                         set(first_choices(make_members(), "b")))

    def test_overloaded_hosts_are_avoided(self):
        """Callers are sent to an overloaded domain while others are idle."""
        loads = (0.9, 0.9, 0.9) + (0.1,) * 6
        counts = first_choices(make_members(loads), "a")
        self.assertLess(sum(counts[h] for h in ("h0", "h1", "h2")), 300)

    def test_dispatchers_are_preferred_slightly(self):
        """A preferred host gets more callers, but not most of them."""
        counts = first_choices(make_members(), "", frozenset(("h0",)))
        self.assertGreater(counts["h0"], max(
            counts[f"h{n}"] for n in range(1, 9)))
        self.assertLess(counts["h0"], 900)
