"""Order of updates and the bounds of what is sent."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from bench import membership_figures as figures
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import messages

_fixed = hypothesis.settings(derandomize=True, deadline=None,
                             max_examples=200, database=None)
_few = hypothesis.settings(_fixed, max_examples=10)
_UPDATES = strategies.lists(strategies.builds(
    messages.MemberUpdate, host=strategies.just("other"),
    incarnation=strategies.integers(1, 3),
    refutations=strategies.integers(0, 2),
    status=strategies.sampled_from(
        ("alive", "leaving", "suspect", "dead", "of a later version")),
    address=strategies.sampled_from(("", "10.0.0.9"))), max_size=12)


def _daemon():
    fleet = figures.Fleet(0)
    return fleet.daemons[fleet.add("me", "domain-0")]


def _tell(daemon, *updates, sender="third"):
    message = messages.ProbeAck(0, updates)
    return membership.handle(
        daemon, events.Received(sender, 1, message), 1.0)


class UpdateTests(unittest.TestCase):

    @_fixed
    @hypothesis.given(_UPDATES)
    def test_incarnations_never_go_back(self, updates):
        daemon = _daemon()
        last = (0, 0)
        for update in updates:
            _tell(daemon, update)
            known = membership.info(daemon, "other")
            if known is not None:
                now = (known.incarnation, known.refutations)
                self.assertGreaterEqual(now, last)
                last = now

    @_fixed
    @hypothesis.given(_UPDATES, strategies.randoms(use_true_random=False))
    def test_hosts_agree_whatever_the_order_of_news(self, updates, rng):
        first = messages.MemberUpdate("other", 1, "alive", "10.0.0.9")
        updates = [dataclasses.replace(u, address="10.0.0.9")
                   for u in updates]
        shuffled = rng.sample(updates, len(updates))
        seen = []
        for order in (updates, shuffled):
            daemon = _daemon()
            _tell(daemon, first, *order)
            late = events.TimerFired(("members", "declare", "other"))
            membership.handle(daemon, late, 100.0)
            known = membership.info(daemon, "other")
            seen.append((known.incarnation, known.refutations,
                         known.status))
        self.assertEqual(*seen)

    @_few
    @hypothesis.given(strategies.integers(0, 2 ** 32),
                      strategies.integers(3, 12))
    def test_undisturbed_host_is_never_declared_dead(self, seed, hosts):
        fleet = figures.new_fleet(hosts, seed, 0.02)
        fleet.run(20.0)
        self.assertEqual([], fleet.deaths)

    def test_host_denies_its_death_with_a_greater_count(self):
        daemon = _daemon()
        dead = messages.MemberUpdate(
            "me", daemon.me.incarnation, "dead", refutations=4)
        _tell(daemon, dead)
        self.assertEqual(5, daemon.members.me.refutations)
        _tell(daemon, dead)
        self.assertEqual(5, daemon.members.me.refutations)

    def test_denial_goes_to_others_at_once(self):
        """A host paused for 2 s wakes with 0.35 s left to deny it.

        Told by its probes alone, some hosts hear the denial too late.
        """
        fleet = figures.new_fleet(9)
        daemon = next(iter(fleet.daemons.values()))
        out = _tell(daemon, messages.MemberUpdate(
            daemon.me.host, daemon.me.incarnation, "suspect"))
        told = {e.host for e in out if type(e) is effects.Send
                and e.message.updates[0].refutations == 1}
        self.assertEqual(8, len(told))

    def test_datagrams_stay_small_and_updates_are_sent_a_while(self):
        """Half a region joins at once and datagrams get fragmented.

        Many updates wait at the same time; a datagram takes only as
        many as fit, and each update is dropped after some sendings.
        """
        daemon = _daemon()
        _tell(daemon, *(messages.MemberUpdate(
            f"{index:03}-" + "n" * 40, 2 ** 62, "alive",
            "fd00:1234:5678:9abc:def0:1234:5678:9abc", 65535, 65535,
            "d" * 40, "r" * 40, 0.123, 2 ** 31, 99)
            for index in range(470)))
        sent = 0
        for seq in range(6000):
            probe = messages.Probe(seq + 1, ())
            out = membership.handle(
                daemon, events.Received("000-" + "n" * 40, 2 ** 62,
                                        probe), 1.0)
            ack = next(e for e in out if type(e) is effects.Send)
            sent += len(ack.message.updates) - 1
            if seq < 20:
                self.assertLess(len(figures.sealed(daemon, ack)), 1200)
                self.assertGreater(len(ack.message.updates), 2)
        self.assertEqual({}, daemon.members.queue)
        self.assertLess(sent / 470, 20)
