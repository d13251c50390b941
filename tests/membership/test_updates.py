"""Order of membership updates and bounds on the messages sent."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from bench import membership_figures as figures
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import messages

_SETTINGS = hypothesis.settings(derandomize=True, deadline=None,
                                max_examples=200, database=None)
_FEW_EXAMPLES = hypothesis.settings(_SETTINGS, max_examples=10)
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


def _receive(daemon, *updates, sender="third"):
    message = messages.ProbeAck(0, updates)
    return membership.handle(
        daemon, events.Received(sender, 1, message), 1.0)


class UpdateTests(unittest.TestCase):

    @_SETTINGS
    @hypothesis.given(_UPDATES)
    def test_incarnations_never_go_back(self, updates):
        daemon = _daemon()
        last = (0, 0)
        for update in updates:
            _receive(daemon, update)
            known = membership.member_info(daemon, "other")
            if known is not None:
                now = (known.incarnation, known.refutations)
                self.assertGreaterEqual(now, last)
                last = now

    @_SETTINGS
    @hypothesis.given(_UPDATES, strategies.randoms(use_true_random=False))
    def test_hosts_agree_for_any_order_of_updates(self, updates, rng):
        first = messages.MemberUpdate("other", 1, "alive", "10.0.0.9")
        updates = [dataclasses.replace(u, address="10.0.0.9")
                   for u in updates]
        shuffled = rng.sample(updates, len(updates))
        seen = []
        for order in (updates, shuffled):
            daemon = _daemon()
            _receive(daemon, first, *order)
            late = events.TimerFired(("members", "declare", "other"))
            membership.handle(daemon, late, 100.0)
            known = membership.member_info(daemon, "other")
            seen.append((known.incarnation, known.refutations,
                         known.status))
        self.assertEqual(*seen)

    @_FEW_EXAMPLES
    @hypothesis.given(strategies.integers(0, 2 ** 32),
                      strategies.integers(3, 12))
    def test_running_host_is_never_declared_dead(self, seed, hosts):
        fleet = figures.new_fleet(hosts, seed, 0.02)
        fleet.run(20.0)
        self.assertEqual([], fleet.deaths)

    def test_host_refutes_its_death_with_a_greater_count(self):
        daemon = _daemon()
        dead = messages.MemberUpdate(
            "me", daemon.identity.incarnation, "dead", refutations=4)
        _receive(daemon, dead)
        self.assertEqual(5, daemon.membership.own_update.refutations)
        _receive(daemon, dead)
        self.assertEqual(5, daemon.membership.own_update.refutations)

    def test_refutation_is_sent_at_once(self):
        """A host that resumes after 2 s has 0.35 s left to refute.

        Piggybacked on probes alone, the refutation would reach some
        hosts too late.
        """
        fleet = figures.new_fleet(9)
        daemon = next(iter(fleet.daemons.values()))
        out = _receive(daemon, messages.MemberUpdate(
            daemon.identity.host, daemon.identity.incarnation, "suspect"))
        told = {e.host for e in out if type(e) is effects.Send
                and e.message.updates[0].refutations == 1}
        self.assertEqual(8, len(told))

    def test_datagrams_stay_small_and_sends_are_bounded(self):
        """Datagrams must not be fragmented when many hosts join at once.

        When half a region joins, many updates are queued. A datagram
        carries only as many as fit, and each update is dropped after a
        bounded number of sends.
        """
        daemon = _daemon()
        _receive(daemon, *(messages.MemberUpdate(
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
        self.assertEqual({}, daemon.membership.pending_updates)
        self.assertLess(sent / 470, 20)
