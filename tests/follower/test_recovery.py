"""Hosts that restart in a platform outage never go back.

Each of them waits until it knows that it had no newer generation in force,
by the platform or by all other hosts.
"""

import unittest
from unittest import mock

from crocuskeel.conf import storage
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core.follower import recovery
from crocuskeel.core import messages
from tests.follower import recovery_support as support

# A host that restarts alone in an outage serves again within this time, s.
SERVES_AGAIN_S = 5.0


class RestartTest(support.RecoveryCase):
    """Restarts of one host and of several, at once and in turn."""

    def test_holders_that_restart_at_once_wait_for_the_platform(self):
        for size, count in ((3, 2), (9, 2), (30, 2), (9, 3), (9, 8)):
            with self.subTest(size=size, count=count):
                fleet = self.started(size)
                holders = fleet.names[:count]
                self.change_seen_by(fleet, *holders)
                for name in holders:
                    fleet.restart(name)
                self.talk(fleet, 6)
                numbers = fleet.generations()
                self.assertEqual({0}, {numbers[name] for name in holders})
                fleet.cut.clear()
                self.talk(fleet, 8)
                self.assertEqual({2}, set(fleet.generations().values()))

    def test_one_host_that_restarts_serves_again(self):
        for size in (2, 3, 9, 30):
            with self.subTest(size=size):
                fleet = self.started(size)
                self.begin_outage(fleet)
                fleet.restart("h0")
                fleet.run(fleet.now + SERVES_AGAIN_S)
                self.assertTrue(follower.ready(fleet.hosts["h0"], fleet.now))

    def test_hosts_that_restart_in_turn_serve_again(self):
        fleet = self.started(9)
        self.begin_outage(fleet)
        for name in fleet.names:
            fleet.restart(name)
            fleet.run(fleet.now + SERVES_AGAIN_S)
            fleet.exchange(name, "h4")
            self.assertTrue(follower.ready(fleet.hosts[name], fleet.now))

    def test_one_holder_that_restarts_gets_the_change_from_the_other(self):
        fleet = self.started(9)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.restart("h0")
        fleet.run(fleet.now + SERVES_AGAIN_S)
        self.assertEqual(2, fleet.generations()["h0"])

    def test_a_host_that_has_read_the_head_takes_nothing_older(self):
        """A host had a change in force, restarts and loses the platform.

        It has read the head by then, not the change itself, and its peers
        never heard of that.
        """
        fleet = self.started(9)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.cut.discard(("h0", "platform"))
        fleet.restart("h0")
        fleet.run(fleet.now + 0.006)
        fleet.cut.add(("h0", "platform"))
        fleet.restart("h1")
        self.talk(fleet, 6)
        self.assertEqual(0, fleet.generations()["h0"])

    def test_a_corrupt_head_tells_nothing(self):
        """A host restarts, reads a damaged head and loses the platform."""
        fleet = self.started(3)
        self.change_seen_by(fleet, "h0", "h1")
        version, _ = fleet.objects[storage.HEAD_KEY]
        fleet.objects[storage.HEAD_KEY] = version, b"damaged"
        fleet.cut.clear()
        fleet.cut = {("h0", "h1"), ("h0", "h2"), ("h1", "h2"),
                     ("h1", "platform"), ("h2", "platform")}
        fleet.restart("h0")
        fleet.run(fleet.now + 12)
        fleet.restart("h1")
        self.begin_outage(fleet)
        self.talk(fleet, 6)
        self.assertEqual(0, fleet.generations()["h0"])

    def test_a_host_that_knows_one_peer_waits_for_those_it_names(self):
        """A host that has just started knows few of the others."""
        fleet = self.started(3)
        self.change_seen_by(fleet, "h0", "h2")
        patch = mock.patch(
            "crocuskeel.core.membership.live",
            lambda daemon: ("h0", "h1") if daemon.identity.host == "h0"
            else fleet.names)
        patch.start()
        self.addCleanup(patch.stop)
        fleet.restart("h0")
        fleet.restart("h2")
        self.talk(fleet, 6)
        self.assertEqual(0, fleet.generations()["h0"])

    def test_a_host_that_waits_says_for_whom(self):
        fleet = self.started(3)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.restart("h0")
        fleet.restart("h1")
        fleet.run(fleet.now + 3)
        records = [effect for _, name, effect in fleet.log
                   if name == "h0" and effect.kind == "settings_unconfirmed"]
        self.assertEqual({"count": 1, "hosts": "h1"},
                         dict(records[-1].fields))
        fleet.run(fleet.now + 30)
        self.assertLess(len([effect for _, name, effect in fleet.log
                             if effect.kind == "settings_unconfirmed"]), 8)


class LateMessageTest(support.RecoveryCase):
    """Messages of earlier processes, or to them."""

    def test_an_answer_to_an_earlier_process_does_not_count(self):
        fleet = self.started(3)
        self.begin_outage(fleet)
        fleet.restart("h0")
        early = recovery.vouch(
            fleet.hosts["h1"], "h0",
            messages.SettingsVouchAsk(fleet.hosts["h0"].follower.round_id))
        fleet.cut.clear()
        fleet.run(fleet.now + 1)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.restart("h0")
        fleet.restart("h1")
        fleet.feed("h0", events.Received("h1", 1, early, 1))
        self.talk(fleet, 6)
        self.assertEqual(0, fleet.generations()["h0"])

    def test_a_confirmation_by_an_earlier_process_does_not_count(self):
        """A peer held a change and said so, and restarts before that is read.

        The change would come into force with nobody else that holds it.
        """
        fleet = self.started(3)
        fleet.cut = {("h1", "platform"), ("h2", "platform"), ("h0", "h1"),
                     ("h0", "h2"), ("h1", "h2")}
        fleet.commit(support.edit(2))
        fleet.run(fleet.now + support.IN_FORCE_S)
        self.assertEqual(1, fleet.generations()["h0"])
        self.begin_outage(fleet)
        fleet.restart("h1")
        fleet.run(fleet.now + 0.02)
        fleet.feed("h0", events.Received(
            "h1", 1, messages.SettingsAsk(2), 1))
        self.assertEqual(1, fleet.generations()["h0"])

    def test_a_holder_that_has_restarted_does_not_confirm_a_load(self):
        """A peer said that it holds a change, restarts, and serves its parts.

        By then it may have none of it.
        """
        fleet = self.started(3)
        fleet.cut = {("h0", "*"), ("h1", "h2")}
        fleet.commit(support.edit(2))
        answer = messages.SettingsAnswer(
            2, 1, storage.encode_head(fleet.head), ())
        fleet.feed("h0", events.Received("h1", 1, answer, 1))
        fleet.feed("h0", events.Received(
            "h1", 2, messages.HostListAsk(-1), 0))
        digest = storage.find_delta_digest(fleet.head, 2)
        _, blob = fleet.objects[storage.part_key(digest)]
        fleet.feed("h0", events.Received(
            "h1", 2, messages.PartAnswer(digest, blob), 0))
        self.assertEqual(2, follower.state.held_generation(
            fleet.hosts["h0"]))
        self.assertEqual(1, fleet.generations()["h0"])


class DeathTest(support.RecoveryCase):
    """Hosts that are dead, or left, while another one restarts."""

    def test_a_host_that_died_in_the_outage_is_waited_for(self):
        fleet = self.started(3)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.kill("h1")
        fleet.restart("h0")
        self.talk(fleet, 6)
        self.assertEqual(0, fleet.generations()["h0"])

    def test_a_host_that_dies_after_an_answer_was_sent_is_waited_for(self):
        """The sender of the answer still knew it as live, and named it not.

        It had a change with the host that restarts, and can't tell.
        """
        fleet = self.started(3)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.cut |= {("h0", "h1"), ("h0", "h2")}
        fleet.restart("h0")
        fleet.run(fleet.now + 1.5)
        request = messages.SettingsVouchAsk(
            fleet.hosts["h0"].follower.round_id,
            recovery.live_digest(fleet.hosts["h0"], "h2"))
        answer = recovery.vouch(fleet.hosts["h2"], "h0", request)
        fleet.kill("h1")
        fleet.feed("h0", events.Received("h2", 1, answer, 1))
        self.assertFalse(follower.is_recovered(fleet.hosts["h0"]))

    def test_a_host_that_died_before_the_outage_is_not_waited_for(self):
        fleet = self.started(9)
        fleet.kill("h1")
        fleet.run(fleet.now + 12)
        self.begin_outage(fleet)
        fleet.restart("h0")
        fleet.run(fleet.now + SERVES_AGAIN_S)
        self.assertEqual(1, fleet.generations()["h0"])

    def test_a_peer_that_reads_the_head_again_answers_for_a_dead_host(self):
        """One host is cut off from the platform, restarts and waits.

        It goes on once a peer that can read the head has done so.
        """
        fleet = self.started(9)
        self.begin_outage(fleet)
        fleet.kill("h1")
        fleet.restart("h0")
        self.talk(fleet, 4)
        self.assertEqual(0, fleet.generations()["h0"])
        fleet.cut.discard(("h2", "platform"))
        self.talk(fleet, 12)
        self.assertEqual(1, fleet.generations()["h0"])

    def test_a_dead_host_is_answered_for_by_the_head_that_was_read(self):
        """A peer knows of a change from the head and could not fetch it.

        Two others had it in force. One is dead since before that read,
        the other one restarts.
        """
        fleet = self.started(3)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.kill("h1")
        for digest in [path for path in fleet.objects
                       if path != storage.HEAD_KEY]:
            del fleet.objects[digest]
        fleet.cut.discard(("h2", "platform"))
        fleet.cut.add(("h0", "h2"))
        fleet.run(fleet.now + 8)
        self.begin_outage(fleet)
        fleet.restart("h0")
        self.talk(fleet, 6)
        self.assertEqual(0, fleet.generations()["h0"])

    def test_a_damaged_head_does_not_answer_for_a_dead_host(self):
        """A peer reads the head after a death and can't decode it."""
        fleet = self.started(3)
        fleet.cut = {("h2", "platform")}
        fleet.run(fleet.now + 8)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.kill("h1")
        version, _ = fleet.objects[storage.HEAD_KEY]
        fleet.objects[storage.HEAD_KEY] = version, b"damaged"
        fleet.cut.discard(("h2", "platform"))
        fleet.cut.add(("h0", "h2"))
        fleet.run(fleet.now + 20)
        self.begin_outage(fleet)
        fleet.restart("h0")
        self.talk(fleet, 6)
        self.assertEqual(0, fleet.generations()["h0"])

    def test_a_host_that_leaves_confirms_no_change_after_that(self):
        """Others no longer wait for it, and would not learn of the change."""
        fleet = self.started(3)
        fleet.feed("h1", events.DrainAsked())
        fleet.run(fleet.now + 0.1)
        fleet.cut = {("h2", "*")}
        fleet.commit(support.edit(2))
        fleet.run(fleet.now + 10)
        fleet.exchange("h1", "h0")
        self.assertEqual(1, fleet.generations()["h0"])

    def test_a_host_that_leaves_hands_over_what_it_knows(self):
        """The other holder of a change leaves as planned, in the outage."""
        fleet = self.started(3)
        self.change_seen_by(fleet, "h0", "h1")
        fleet.feed("h1", events.DrainAsked())
        fleet.run(fleet.now + 3)
        fleet.kill("h1")
        fleet.restart("h0")
        fleet.run(fleet.now + SERVES_AGAIN_S)
        self.assertEqual(2, fleet.generations()["h0"])


class AloneTest(support.RecoveryCase):
    """A host that reaches no other one."""

    def _cut_off(self):
        fleet = self.started(3)
        fleet.cut = {("h0", "h1"), ("h0", "h2"), ("h1", "platform"),
                     ("h2", "platform")}
        patch = mock.patch(
            "crocuskeel.core.membership.live",
            lambda daemon: ("h0",) if daemon.identity.host == "h0"
            else ("h1", "h2"))
        patch.start()
        self.addCleanup(patch.stop)
        return fleet

    def _list_hosts(self, fleet, *names):
        entries = tuple(messages.MemberUpdate(name, 0, "alive")
                        for name in names)
        fleet.feed("h0", events.HostListSeen(1, entries, ()))

    def test_a_host_that_is_cut_off_adopts_nothing_alone(self):
        """It would restart among hosts that never heard of the change."""
        fleet = self._cut_off()
        self._list_hosts(fleet, "h0", "h1", "h2")
        fleet.commit(support.edit(2))
        fleet.run(fleet.now + 12)
        self.assertEqual(1, fleet.generations()["h0"])

    def test_the_last_host_of_the_list_adopts_alone(self):
        fleet = self._cut_off()
        self._list_hosts(fleet, "h0")
        fleet.commit(support.edit(2))
        fleet.run(fleet.now + 12)
        self.assertEqual(2, fleet.generations()["h0"])


if __name__ == "__main__":
    unittest.main()
