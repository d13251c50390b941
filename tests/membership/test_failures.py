"""Failure scenarios of the membership protocol, on simulated fleets."""

import unittest

from bench import membership_figures as figures
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core.membership import params
from crocuskeel.core.membership import probing
from crocuskeel.core import messages

SEEDS = range(6)
LOSS = 0.02


def _address(fleet, index):
    return sorted(fleet.daemons)[index]


def _hosts(fleet):
    return tuple(sorted(d.identity.host for d in fleet.daemons.values()))


class FailureTests(unittest.TestCase):

    def assert_agreed(self, fleet):
        expected = _hosts(fleet)
        for daemon in fleet.daemons.values():
            self.assertEqual(expected, membership.live(daemon))

    def test_dead_host_is_declared_in_time(self):
        """A dead host must be declared dead by all others within 3 s.

        Until then its cells have no dispatcher and its requests hang.
        Random probes alone may leave a host unprobed for seconds; the
        probes of its ring predecessor bound that time.
        """
        for seed in range(40):
            fleet = figures.new_fleet(9, seed, LOSS)
            victim = fleet.stop(_address(fleet, seed % 9)).identity.host
            fleet.run(3.0)
            self.assert_agreed(fleet)
            self.assertEqual({victim}, {d[2] for d in fleet.deaths})

    def test_two_second_pause_causes_no_deaths(self):
        """A host that pauses for 2 s must not be declared dead.

        The others suspect it, and when it resumes its own probes seem
        unanswered. It must refute the suspicion in time, and raise its
        health score before it suspects hosts whose answers are unread.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed, LOSS)
            address = _address(fleet, seed)
            paused = fleet.daemons[address]
            fleet.run(0.1 * seed)
            fleet.records.clear()
            fleet.pause(address, 2.0)
            fleet.run(8.0)
            self.assertEqual([], fleet.deaths)
            kinds = {kind for _, host, kind in fleet.records
                     if host != paused.identity.host}
            self.assertIn("member_suspect", kinds)
            self.assertIn("suspicion_refuted",
                          {kind for *_, kind in fleet.records})

    def test_resumed_host_declares_no_deaths(self):
        """A host that resumes from a pause must not declare deaths.

        It suspected another host, which was paused too and has refuted
        since. The timer that declares the death is due when the host
        resumes, before the refutation is read. The late timer reveals
        the pause.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            fleet.pause(_address(fleet, 1), 2.0)
            fleet.run(1.3)
            fleet.pause(_address(fleet, 5), 1.9)
            fleet.run(8.0)
            self.assertEqual([], fleet.deaths)

    def test_isolated_host_declares_no_deaths(self):
        """A host isolated for 3 s must not declare the others dead.

        None of its probes is answered, so it is more likely isolated
        itself, and waits longer before it declares any host dead.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            isolated = _address(fleet, seed)
            host = fleet.daemons[isolated].identity.host
            fleet.lost = lambda a, b, isolated=isolated: isolated in (a, b)
            fleet.run(3.0)
            fleet.lost = lambda a, b: False
            fleet.run(5.0)
            self.assertNotIn(host, {who for _, who, _ in fleet.deaths})
            self.assert_agreed(fleet)

    def test_stream_messages_count_as_contact(self):
        """A host that loses only datagrams must not be suspected soon.

        Its socket buffer overflows for a while, but its streams
        continue: any message makes some failed probes ignored. The
        number is bounded, because the host takes no part in the protocol.
        """
        for steps, expect_dead in ((7, False), (120, True)):
            fleet = figures.new_fleet(9)
            busy = fleet.daemons[_address(fleet, 4)]
            fleet.lost = lambda a, b, to=busy.identity.address: to in (a, b)
            fleet.records.clear()
            message = events.Received(
                busy.identity.host, busy.identity.incarnation,
                messages.ReregisterAsk("cell"))
            for _ in range(steps):
                fleet.run(0.1)
                for daemon in fleet.daemons.values():
                    membership.record_contact(daemon, message, fleet.now)
            suspected = {kind for _, host, kind in fleet.records
                         if host != busy.identity.host}
            self.assertEqual(expect_dead, "member_suspect" in suspected)
            one = fleet.daemons[_address(fleet, 0)]
            self.assertNotEqual(
                expect_dead, membership.is_live(one, busy.identity.host))

    def test_one_way_failure_between_two_hosts(self):
        """A one-way failure between two hosts must not cause a suspicion.

        A switch drops one direction of one path. Direct probes over it
        always fail, but helpers reach the host, so it stays a member.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(6, seed)
            path = (_address(fleet, 0), _address(fleet, 3))
            fleet.records.clear()
            fleet.lost = lambda a, b: (a, b) == path
            fleet.run(20.0)
            self.assertEqual([], fleet.deaths)
            self.assertNotIn("member_suspect",
                             {kind for *_, kind in fleet.records})

    def test_host_that_receives_nothing(self):
        """A host that sends but receives nothing must be declared dead.

        Its probes count as contact, but it can't do any work and its
        callers would hang. Its own suspicions of the others, from which
        it receives nothing, must not cause any death.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(6, seed)
            receiver = _address(fleet, 2)
            host = fleet.daemons[receiver].identity.host
            fleet.lost = lambda a, b: b == receiver
            fleet.run(20.0)
            told = {(who, whom) for _, who, whom in fleet.deaths
                    if who != host}
            self.assertEqual({(who, host) for who in _hosts(fleet)
                              if who != host}, told)

    def test_partition_heals(self):
        """The two sides of a partition must merge once it is repaired.

        Each side has declared the other dead and no longer probes it.
        Dead hosts are contacted periodically, learn that they are
        considered dead, and refute it.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            for daemon in fleet.daemons.values():
                daemon.membership.listed.clear()
            half = set(sorted(fleet.daemons)[:4])
            fleet.lost = lambda a, b: (a in half) != (b in half)
            fleet.run(30.0)
            one = fleet.daemons[_address(fleet, 0)]
            self.assertEqual(4, len(membership.live(one)))
            fleet.lost = lambda a, b: False
            fleet.run(5.0)
            self.assert_agreed(fleet)

    def test_short_partition_causes_no_deaths_within_a_side(self):
        """After a partition of 3 s no side may declare its own hosts dead.

        Each side still reports the deaths of the other side, and the
        reports reach the hosts' own side. There a report counts as a
        suspicion, which can be refuted.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            half = set(sorted(fleet.daemons)[:4])
            near_hosts = {fleet.daemons[a].identity.host for a in half}
            fleet.lost = lambda a, b, half=half: (a in half) != (b in half)
            fleet.run(3.2)
            fleet.lost = lambda a, b: False
            fleet.run(5.0)
            self.assertEqual([], [
                death for death in fleet.deaths
                if (death[1] in near_hosts) == (death[2] in near_hosts)])
            self.assert_agreed(fleet)

    def test_loss_of_a_failure_domain(self):
        """All hosts of a lost failure domain must be declared dead in time.

        A dead host whose ring predecessor died too is probed only by
        chance. Ring neighbours are in different domains, so each host
        is probed from outside its domain.
        """
        for seed in range(24):
            fleet = figures.new_fleet(9, seed, LOSS)
            for address, daemon in list(fleet.daemons.items()):
                if daemon.identity.domain == "domain-0":
                    fleet.stop(address)
            fleet.run(3.2)
            self.assert_agreed(fleet)

    def test_two_processes_under_one_name(self):
        """An older process under the same host name must stop.

        Both processes send as the same host, and answers would be mixed
        up. The later incarnation is the member; the older one is told
        and stops taking part.
        """
        fleet = figures.new_fleet(6)
        old = fleet.daemons[_address(fleet, 1)]
        seed = fleet.daemons[_address(fleet, 0)].identity
        new = fleet.add(old.identity.host, old.identity.domain,
                        [(seed.host, seed.address, 7001)],
                        figures.START + 1, "10.20.30.99")
        fleet.run(5.0)
        self.assertTrue(old.membership.superseded)
        self.assertNotIn(old.identity.host, membership.live(old))
        fleet.stop(old.identity.address)
        for daemon in fleet.daemons.values():
            known = membership.member_info(daemon, old.identity.host)
            self.assertEqual(new, known.address)
        self.assert_agreed(fleet)

    def test_restart_is_a_new_incarnation(self):
        """A restart faster than failure detection must be accepted.

        The others still know the first incarnation. The second replaces
        it, and late messages of the first have no effect.
        """
        fleet = figures.new_fleet(6)
        old = fleet.stop(_address(fleet, 1))
        other = fleet.daemons[_address(fleet, 0)]
        seed_entry = (other.identity.host, other.identity.address, 7001)
        fleet.add(old.identity.host, old.identity.domain, [seed_entry],
                  figures.START + 1)
        fleet.run(3.0)
        self.assert_agreed(fleet)
        self.assertEqual([], fleet.deaths)
        leaving = membership.handle(old, events.DrainAsked(), 0.0)
        late = events.Received(old.identity.host, old.identity.incarnation,
                               leaving[0].message)
        membership.handle(other, late, fleet.now)
        self.assertTrue(membership.is_live(other, old.identity.host))

    def test_leaving_host_is_known_at_once(self):
        """All hosts must learn at once that a host is leaving.

        Piggybacked on probes the update would reach one host per period,
        and callers would be sent to the leaving host for seconds. It is
        sent at once, and twice, because a datagram may be lost.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            daemon = fleet.daemons[_address(fleet, seed)]
            until = fleet.now + 0.09
            fleet.lost = lambda a, b, end=until: fleet.now < end
            fleet.tell(daemon, events.DrainAsked())
            fleet.run(0.15)
            for other in fleet.daemons.values():
                self.assertNotIn(daemon.identity.host, membership.live(other))

    def test_hosts_join_through_the_host_list(self):
        """Hosts must find each other if no seed address is valid.

        All hosts were replaced at once. The host list names the new
        ones, and each host contacts those that it names.
        """
        fleet = figures.Fleet(1)
        fleet.lost = lambda a, b: fleet.rng.random() < LOSS
        for index in range(9):
            fleet.add(f"new-{index}", f"domain-{index % 3}")
        fleet.run(1.0)
        listed = tuple(d.membership.own_update for d in fleet.daemons.values())
        for daemon in fleet.daemons.values():
            membership.handle(
                daemon, events.HostListSeen(1, listed, ()), fleet.now)
        fleet.run(4.0)
        self.assert_agreed(fleet)

    def test_new_host_learns_all_members(self):
        """A host that joins a large fleet must soon know all members.

        By probes and gossip it would learn them over about a minute; the
        seeds that it contacts first send it all members directly.
        """
        fleet = figures.new_fleet(60, 1, LOSS)
        seeds = [(d.identity.host, d.identity.address, 7001)
                 for d in list(fleet.daemons.values())[:3]]
        new = fleet.add("newcomer", "domain-0", seeds)
        fleet.run(2.0)
        self.assertEqual(61, len(membership.live(fleet.daemons[new])))

    def test_dead_hosts_are_removed_after_a_while(self):
        """Dead hosts must be removed after a bounded time.

        Otherwise memory would grow as 300 hosts a day are replaced.
        """
        fleet = figures.new_fleet(3)
        fleet.stop(_address(fleet, 0))
        fleet.run(20.0)
        for daemon in fleet.daemons.values():
            self.assertEqual(3, len(membership.all_members(daemon)))
            membership.handle(daemon, events.TimerFired(probing.TICK),
                              fleet.now + params.DEAD_RETENTION_S)
            self.assertEqual(2, len(membership.all_members(daemon)))
