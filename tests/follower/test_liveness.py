"""A host that is behind always goes on looking for its settings."""

import itertools
import random
import unittest
from unittest import mock

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import events
from crocuskeel.core import messages
from tests.follower import fleet as fleets

SEEDS = range(12)
HOSTS = tuple(f"h{number}" for number in range(5))


class LivenessTest(unittest.TestCase):
    """Settings change while hosts lose the platform and each other.

    The fleet checks after each event that a host that is behind, or parks
    requests, has a timer for its next attempt.
    """

    def test_a_host_that_is_behind_tries_again(self):
        # Requests were parked, then refused, by a host that waited for an
        # answer that was lost.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._run(random.Random(seed))

    def test_an_answer_that_nobody_waits_for_starts_the_retry_timer(self):
        # The host was asked twice and has caught up by the first answer. A
        # part lost after the second one left it refusing until a peer spoke.
        fleet = fleets.Fleet(HOSTS)
        fleet.commit(conf.document_edits(
            conf.empty_tree(), fleets.DOCUMENT))
        fleet.start(*HOSTS)
        fleet.run(8.0)
        fleet.cut = {(name, "*") for name in HOSTS}
        fleet.commit([conf.Edit(("classes", "booking", "tier"), 2)])
        fleet.run(fleet.now + 8)
        name = next(name for name, daemon in fleet.hosts.items()
                    if daemon.follower.behind_since is None)
        answer = messages.SettingsAnswer(
            2, 1, storage.encode_head(fleet.head), ())
        fleet.feed(name, events.Received("h1", 1, answer, 1))
        self.assertIn((name, ("follower", "retry")), fleet.timers)

    def setUp(self):
        patch = mock.patch("crocuskeel.core.membership.live", fleets.live)
        patch.start()
        self.addCleanup(patch.stop)

    def _run(self, rng):
        fleet = fleets.Fleet(HOSTS)
        fleet.commit(conf.document_edits(
            conf.empty_tree(), fleets.DOCUMENT))
        fleet.start(*HOSTS)
        places = (*HOSTS, "platform", "platform")
        for number in range(60):
            fleet.run(fleet.now + rng.choice((0.002, 0.01, 0.1, 0.7, 2.0)))
            match rng.randrange(5):
                case 0:
                    fleet.commit([conf.Edit(
                        ("classes", "booking", "tier"), number % 3 + 1)])
                case 1:
                    fleet.cut.add(tuple(rng.sample(places, 2)))
                case 2 if fleet.cut:
                    fleet.cut.discard(rng.choice(sorted(fleet.cut)))
                case 3:
                    name = rng.choice(HOSTS)
                    fleet.restart(name)
                case 4:
                    fleet.arrive(rng.choice(HOSTS), f"r{number}")
            fleet.exchange(*rng.sample(HOSTS, 2))
        fleet.cut.clear()
        for _ in range(12):
            for first, second in itertools.permutations(HOSTS, 2):
                fleet.exchange(first, second)
            fleet.run(fleet.now + 1.0)
        self.assertEqual({fleet.tree.generation},
                         set(fleet.generations().values()))


if __name__ == "__main__":
    unittest.main()
