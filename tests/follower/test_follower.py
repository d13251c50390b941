"""Settings come into force on all hosts in seconds and never go back."""

import unittest
from unittest import mock

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core.follower import adoption
from crocuskeel.core import messages
from tests.follower import fleet as fleets

HOSTS = tuple(f"h{number}" for number in range(9))
FIRST = conf.document_edits(conf.empty_tree(), fleets.DOCUMENT)
IN_FORCE_S = 4.0


def _edit(tier):
    return [conf.Edit(("classes", "booking", "tier"), tier)]


class FollowerTest(unittest.TestCase):
    """Nine hosts that follow one head object."""

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
        """In a partial outage hosts must take a change from their peers.

        Only one host reaches the platform when a batch is committed.
        Without its peers' help each other host would keep the old
        settings for the whole outage.
        """
        fleet = self._started()
        fleet.cut = {(name, "platform") for name in HOSTS[1:]}
        fleet.commit(_edit(3))
        fleet.run(fleet.now + IN_FORCE_S + 2)
        self._assert_everywhere(2)

    def test_a_new_host_takes_the_newest_generation_from_peers(self):
        """A host replaced in a platform outage must get its settings.

        It has no disk and can't read the head. Without settings it
        would refuse every caller until the outage ends.
        """
        fleet = self._started()
        fleet.commit(_edit(2))
        fleet.run(fleet.now + IN_FORCE_S)
        fleet.cut = {(name, "platform") for name in HOSTS}
        fleet.hosts.pop("h8")
        fleet.start("h8")
        message = messages.HostListAsk(-1)
        fleet.feed("h8", events.Received("h1", 1, message, 2))
        fleet.run(fleet.now + 2)
        self.assertEqual(2, fleet.generations()["h8"])

    def test_generations_never_go_back(self):
        """An old head from a lagging replica must not be adopted.

        Otherwise callers would see the old price again after they had
        seen the new one.
        """
        fleet = self._started()
        old = fleet.objects[storage.HEAD_KEY]
        fleet.commit(_edit(2))
        fleet.run(fleet.now + IN_FORCE_S)
        fleet.stale_head = old
        fleet.run(fleet.now + 20)
        self._assert_everywhere(2)

    def test_a_restart_in_an_outage_does_not_go_back(self):
        """A caller must not see old settings after the new ones.

        This would happen if one host adopted a generation that no other
        host holds: the platform and its links to the others fail, it
        restarts, and takes the older generation from its peers.
        """
        fleet = self._started()
        fleet.cut = {("h0", name) for name in HOSTS[1:]}
        fleet.cut |= {(name, "platform") for name in HOSTS[1:]}
        fleet.commit(_edit(2))
        fleet.run(fleet.now + 2.5)
        handled = fleet.generations()["h0"]
        fleet.cut = {(name, "platform") for name in HOSTS}
        fleet.hosts.pop("h0")
        fleet.start("h0")
        message = messages.HostListAsk(-1)
        fleet.feed("h0", events.Received("h1", 1, message, 1))
        fleet.run(fleet.now + 3)
        self.assertGreaterEqual(fleet.generations()["h0"], handled)

    def test_a_restart_of_all_holders_in_an_outage_does_not_go_back(self):
        """A caller must not see old settings after the new ones.

        Two hosts hold the newest generation and have adopted it; both
        restart before they could tell another one, in an outage.
        """
        fleet = self._started()
        holders, others = HOSTS[:2], HOSTS[2:]
        fleet.cut = {(name, "platform") for name in others}
        fleet.cut |= {(first, second) for first in holders
                      for second in others}
        fleet.commit(_edit(2))
        fleet.run(fleet.now + IN_FORCE_S)
        for name in holders:
            other, = set(holders) - {name}
            fleet.exchange(other, name)
        handled = fleet.generations()["h0"]
        self.assertEqual(2, handled)
        fleet.cut = {(name, "platform") for name in HOSTS}
        for name in holders:
            fleet.restart(name)
        for _ in range(3):
            fleet.exchange("h5", "h0")
            fleet.run(fleet.now + 1)
        self.assertIn(fleet.generations()["h0"], (0, handled))

    def test_a_host_without_peers_does_not_wait(self):
        fleet = fleets.Fleet(HOSTS[:1])
        fleet.commit(FIRST)
        fleet.start("h0")
        fleet.run(1.0)
        self.assertEqual({"h0": 1}, fleet.generations())

    def test_an_isolated_host_is_not_ready(self):
        """A host isolated from platform and peers must not be ready.

        Otherwise it would apply outdated settings to its callers. It
        can detect the isolation only by the lack of messages.
        """
        fleet = self._started()
        self.assertTrue(follower.ready(fleet.hosts["h4"], fleet.now))
        fleet.cut = {("h4", "*")}
        fleet.run(fleet.now + 15)
        self.assertFalse(follower.ready(fleet.hosts["h4"], fleet.now))
        self.assertEqual(1, fleet.generations()["h4"])

    def test_an_arrival_waits_for_the_newest_known_generation(self):
        """A request must wait for a generation that is known to exist.

        The host learned of the generation from a message but has not
        fetched it. A caller that saw the new settings at another host
        would see the change reverted if this host applied the old ones.
        """
        fleet = self._started()
        fleet.commit(_edit(2))
        ask = messages.HostListAsk(-1)
        self.assertEqual(1, fleet.generations()["h7"])
        fleet.feed("h7", events.Received("h0", 1, ask, 2))
        fleet.arrive("h7", "r1")
        self.assertEqual([], fleet.handled)
        fleet.run(fleet.now + 1)
        self.assertEqual([("r1", 2, True)], fleet.handled)

    def test_a_host_is_not_ready_if_the_newest_generation_is_unreachable(self):
        """Requests must not wait forever for an unreachable generation.

        Callers must soon get a final answer that does not rest on the
        old settings.
        """
        fleet = self._started()
        fleet.cut = {("h7", "*")}
        ask = messages.HostListAsk(-1)
        fleet.feed("h7", events.Received("h0", 1, ask, 9))
        fleet.arrive("h7", "r1")
        fleet.run(fleet.now + 3)
        self.assertEqual([("r1", 1, False)], fleet.handled)

    def test_a_corrupt_part_is_not_adopted(self):
        """A part with corrupt bytes must not come into force.

        It would apply settings that no operator committed. Its digest
        does not match, and another source is asked.
        """
        fleet = self._started()
        fleet.hosts.pop("h8")
        fleet.start("h8")
        bad = storage.encode_head(fleet.head)
        answer = messages.SettingsAnswer(1, 0, bad, ())
        fleet.feed("h8", events.Received("h1", 1, answer, 1))
        part = messages.PartAnswer(fleet.head.index_digest, b"damaged")
        fleet.feed("h8", events.Received("h1", 1, part, 1))
        self.assertEqual(0, fleet.generations()["h8"])
        fleet.run(fleet.now + 3)
        self.assertEqual(1, fleet.generations()["h8"])

    def test_announcements_reach_every_host(self):
        """Announcements alone must reach every host.

        With six random neighbours per host, one host in 400 was
        nobody's neighbour. In a fleet of 470 it learned of a change only
        from its own read of the platform, half a minute late.
        """
        for size in (2, 3, 9, 10, 81, 470):
            live = tuple(f"h{number:03d}" for number in range(size))
            reached = {live[0]}
            newly_told = [live[0]]
            while newly_told:
                announced = {name for host in newly_told
                             for name in adoption.neighbours(host, live)}
                newly_told = sorted(announced - reached)
                reached |= announced
            self.assertEqual(set(live), reached)

    def test_platform_calls_are_bounded(self):
        fleet = self._started()
        before = fleet.calls
        fleet.run(fleet.now + 60)
        # Three watches renewed every 4 s and six hosts reading every 5 s.
        self.assertLess((fleet.calls - before) / 60, 2.5)
