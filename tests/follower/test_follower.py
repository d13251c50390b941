"""Settings are in force everywhere within seconds and never go back."""

import unittest
from unittest import mock

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core.follower import force
from crocuskeel.core import messages
from tests.follower import fleet as fleets

HOSTS = tuple(f"h{number}" for number in range(9))
FIRST = conf.document_edits(conf.empty_tree(), fleets.DOCUMENT)
IN_FORCE_S = 4.0


def _edit(tier):
    return [conf.Edit(("classes", "booking", "tier"), tier)]


class FollowerTest(unittest.TestCase):
    """Nine hosts follow one head object."""

    def setUp(self):
        patch = mock.patch(
            "crocuskeel.core.membership.live", fleets.live)
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = fleets.Fleet(HOSTS)

    def _started(self):
        self.fleet.commit(FIRST)
        self.fleet.start(*HOSTS)
        self.fleet.run(8.0)
        return self.fleet

    def _assert_everywhere(self, number):
        self.assertEqual({name: number for name in self.fleet.hosts},
                         self.fleet.generations())

    def test_a_change_is_in_force_everywhere_in_time(self):
        fleet = self._started()
        fleet.commit(_edit(2))
        fleet.run(fleet.now + IN_FORCE_S)
        self._assert_everywhere(2)

    def test_a_change_reaches_hosts_cut_off_from_the_platform(self):
        """A release in a partial outage.

        Only one host reaches the platform when a batch is accepted.
        The others would go on with the old settings for the whole
        outage if they did not take them from their peers.
        """
        fleet = self._started()
        fleet.cut = {(name, "platform") for name in HOSTS[1:]}
        fleet.commit(_edit(3))
        fleet.run(fleet.now + IN_FORCE_S + 2)
        self._assert_everywhere(2)

    def test_a_late_starter_takes_the_newest_from_peers(self):
        """A host is replaced while the platform is down.

        It has no disk and can't read the head; with no settings it
        would refuse every caller until the outage ends.
        """
        fleet = self._started()
        fleet.commit(_edit(2))
        fleet.run(fleet.now + IN_FORCE_S)
        fleet.cut = {(name, "platform") for name in HOSTS}
        fleet.hosts.pop("h8")
        fleet.start("h8")
        hello = messages.HostListAsk(-1)
        fleet.feed("h8", events.Received("h1", 1, hello, 2))
        fleet.run(fleet.now + 2)
        self.assertEqual(2, fleet.generations()["h8"])

    def test_generations_never_go_back(self):
        """A lagging replica of the store answers with the old head.

        A host that took it would give callers the old price again
        after they had seen the new one.
        """
        fleet = self._started()
        old = fleet.objects[storage.HEAD_KEY]
        fleet.commit(_edit(2))
        fleet.run(fleet.now + IN_FORCE_S)
        fleet.stale_head = old
        fleet.run(fleet.now + 20)
        self._assert_everywhere(2)

    def test_a_restart_in_an_outage_does_not_go_back(self):
        """A caller sees the new settings, then the old ones again.

        One host alone had put a generation in force; platform and its
        links to the others fail, it restarts, and takes the older
        generation from its peers.
        """
        fleet = self._started()
        fleet.cut = {("h0", name) for name in HOSTS[1:]}
        fleet.cut |= {(name, "platform") for name in HOSTS[1:]}
        fleet.commit(_edit(2))
        fleet.run(fleet.now + 2.5)
        judged = fleet.generations()["h0"]
        fleet.cut = {(name, "platform") for name in HOSTS}
        fleet.hosts.pop("h0")
        fleet.start("h0")
        hello = messages.HostListAsk(-1)
        fleet.feed("h0", events.Received("h1", 1, hello, 1))
        fleet.run(fleet.now + 3)
        self.assertGreaterEqual(fleet.generations()["h0"], judged)

    def test_a_host_without_peers_does_not_wait(self):
        fleet = fleets.Fleet(HOSTS[:1])
        fleet.commit(FIRST)
        fleet.start("h0")
        fleet.run(1.0)
        self.assertEqual({"h0": 1}, fleet.generations())

    def test_an_isolated_host_says_it_is_not_ready(self):
        """One host loses platform and peers while the fleet goes on.

        Its callers would be judged by settings that are long replaced;
        it must notice by the silence alone.
        """
        fleet = self._started()
        self.assertTrue(follower.ready(fleet.hosts["h4"], fleet.now))
        fleet.cut = {("h4", "*")}
        fleet.run(fleet.now + 15)
        self.assertFalse(follower.ready(fleet.hosts["h4"], fleet.now))
        self.assertEqual(1, fleet.generations()["h4"])

    def test_an_arrival_is_judged_by_the_generation_heard_of(self):
        """A caller sees the new settings at one host, then another.

        The second host has heard of the new generation by a message but
        has not fetched it: judging by the old one would look to the
        caller as if the change had been reverted.
        """
        fleet = self._started()
        fleet.commit(_edit(2))
        ask = messages.HostListAsk(-1)
        self.assertEqual(1, fleet.generations()["h7"])
        fleet.feed("h7", events.Received("h0", 1, ask, 2))
        fleet.arrive("h7", "r1")
        self.assertEqual([], fleet.judged)
        fleet.run(fleet.now + 1)
        self.assertEqual([("r1", 2, True)], fleet.judged)

    def test_an_unreachable_generation_ends_the_wait_unready(self):
        """A host hears of a generation that nobody can give it.

        Its callers must get a final answer, soon, and not one by the
        old settings.
        """
        fleet = self._started()
        fleet.cut = {("h7", "*")}
        ask = messages.HostListAsk(-1)
        fleet.feed("h7", events.Received("h0", 1, ask, 9))
        fleet.arrive("h7", "r1")
        fleet.run(fleet.now + 3)
        self.assertEqual([("r1", 1, False)], fleet.judged)

    def test_a_damaged_part_is_not_adopted(self):
        """A peer sends a part whose bytes were damaged.

        Judged by, it would change settings that no operator accepted;
        its digest does not match and another source is asked.
        """
        fleet = self._started()
        fleet.hosts.pop("h8")
        fleet.start("h8")
        bad = storage.encode_head(fleet.head)
        answer = messages.SettingsAnswer(1, 0, bad, ())
        fleet.feed("h8", events.Received("h1", 1, answer, 1))
        part = messages.PartAnswer(fleet.head.index, b"damaged")
        fleet.feed("h8", events.Received("h1", 1, part, 1))
        self.assertEqual(0, fleet.generations()["h8"])
        fleet.run(fleet.now + 3)
        self.assertEqual(1, fleet.generations()["h8"])

    def test_everyone_is_told_without_the_platform(self):
        """One host of 470 stays behind for half a minute.

        News went to six random neighbours, and one host in 400 was
        nobody's neighbour: it learned of a change only by its own slow
        read of the platform.
        """
        for size in (2, 3, 9, 10, 81, 470):
            live = tuple(f"h{number:03d}" for number in range(size))
            reached = {live[0]}
            fresh = [live[0]]
            while fresh:
                told = {name for host in fresh
                        for name in force.neighbours(host, live)}
                fresh = sorted(told - reached)
                reached |= told
            self.assertEqual(set(live), reached)

    def test_calls_of_the_platform_stay_few(self):
        fleet = self._started()
        before = fleet.calls
        fleet.run(fleet.now + 60)
        # Three watches renewed every 4 s, six hosts reading every 5 s.
        self.assertLess((fleet.calls - before) / 60, 2.5)
