"""Failures that membership is built for, over whole virtual fleets."""

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
    return tuple(sorted(d.me.host for d in fleet.daemons.values()))


class FailureTests(unittest.TestCase):

    def assert_agreed(self, fleet):
        want = _hosts(fleet)
        for daemon in fleet.daemons.values():
            self.assertEqual(want, membership.live(daemon))

    def test_dead_host_is_declared_in_time(self):
        """A host loses power; callers are still sent to it.

        Until all others call it dead its cells have no dispatcher and
        its requests hang. With random probes alone it now and then goes
        unprobed for seconds; its ring predecessor's turn bounds that.
        """
        for seed in range(40):
            fleet = figures.new_fleet(9, seed, LOSS)
            victim = fleet.stop(_address(fleet, seed % 9)).me.host
            fleet.run(3.0)
            self.assert_agreed(fleet)
            self.assertEqual({victim}, {d[2] for d in fleet.deaths})

    def test_two_second_pause_kills_nobody(self):
        """A host stands still for 2 s and its work is moved away.

        The others suspect it, and as it wakes it finds its own probes
        unanswered. It must deny the suspicion in time and doubt itself
        before it suspects those whose answers it had no time to read.
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
                     if host != paused.me.host}
            self.assertIn("member_suspect", kinds)
            self.assertIn("suspicion_refuted",
                          {kind for *_, kind in fleet.records})

    def test_pause_makes_a_host_doubt_itself(self):
        """A host stands still and, as it wakes, calls a live one dead.

        It suspected the other, who was paused too and denied it since.
        The timer that declares the death is due at waking, before the
        denial is read. The late timer tells the host that it slept.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            fleet.pause(_address(fleet, 1), 2.0)
            fleet.run(1.3)
            fleet.pause(_address(fleet, 5), 1.9)
            fleet.run(8.0)
            self.assertEqual([], fleet.deaths)

    def test_host_that_is_cut_off_for_a_while(self):
        """One host's cable is out for 3 s; it calls all others dead.

        Nobody answers its probes, which says more of itself than of
        the whole fleet: it waits longer before it condemns anyone.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            lone = _address(fleet, seed)
            host = fleet.daemons[lone].me.host
            fleet.lost = lambda a, b, lone=lone: lone in (a, b)
            fleet.run(3.0)
            fleet.lost = lambda a, b: False
            fleet.run(5.0)
            self.assertNotIn(host, {who for _, who, _ in fleet.deaths})
            self.assert_agreed(fleet)

    def test_streams_are_signs_of_life(self):
        """A busy host loses its datagrams and its work is moved away.

        Its socket buffer overflows for a while, yet its streams go on:
        any message forgives some failed probes. Not for ever, as the
        host takes no part in the protocol any more.
        """
        for tenths, gone in ((7, False), (120, True)):
            fleet = figures.new_fleet(9)
            busy = fleet.daemons[_address(fleet, 4)]
            fleet.lost = lambda a, b, to=busy.me.address: to in (a, b)
            fleet.records.clear()
            said = events.Received(busy.me.host, busy.me.incarnation,
                                   messages.ReregisterAsk("cell"))
            for _ in range(tenths):
                fleet.run(0.1)
                for daemon in fleet.daemons.values():
                    membership.hear(daemon, said, fleet.now)
            suspected = {kind for _, host, kind in fleet.records
                         if host != busy.me.host}
            self.assertEqual(gone, "member_suspect" in suspected)
            one = fleet.daemons[_address(fleet, 0)]
            self.assertNotEqual(
                gone, membership.is_live(one, busy.me.host))

    def test_one_way_cut_between_two_hosts(self):
        """Two hosts can't talk, both reach all others; one is shunned.

        A switch drops one direction of one path. Probes over it fail
        for good, but helpers reach the host, so it stays a member.
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

    def test_host_that_hears_nothing(self):
        """Callers hang at a host that sends but receives nothing.

        Its probes look like signs of life, yet it can't do any work.
        It must be declared dead, and what it thinks of the others,
        whom it can't hear, must kill none of them.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(6, seed)
            deaf = _address(fleet, 2)
            host = fleet.daemons[deaf].me.host
            fleet.lost = lambda a, b: b == deaf
            fleet.run(20.0)
            told = {(who, whom) for _, who, whom in fleet.deaths
                    if who != host}
            self.assertEqual({(who, host) for who in _hosts(fleet)
                              if who != host}, told)

    def test_split_heals(self):
        """After a split is mended two halves still work on their own.

        Both halves have declared the other dead and probe it no more.
        Dead hosts are tried again now and then, are told of their
        death, deny it, and both halves become one by themselves.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            for daemon in fleet.daemons.values():
                daemon.members.listed.clear()
            half = set(sorted(fleet.daemons)[:4])
            fleet.lost = lambda a, b: (a in half) != (b in half)
            fleet.run(30.0)
            one = fleet.daemons[_address(fleet, 0)]
            self.assertEqual(4, len(membership.live(one)))
            fleet.lost = lambda a, b: False
            fleet.run(5.0)
            self.assert_agreed(fleet)

    def test_short_split_kills_nobody_on_the_own_side(self):
        """A split of 3 s heals, and hosts that never lost touch part.

        Each side still tells of the other's death, and the dead hear
        it on their own side. It counts as a suspicion to be denied.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            half = set(sorted(fleet.daemons)[:4])
            near = {fleet.daemons[a].me.host for a in half}
            fleet.lost = lambda a, b, half=half: (a in half) != (b in half)
            fleet.run(3.2)
            fleet.lost = lambda a, b: False
            fleet.run(5.0)
            self.assertEqual([], [
                death for death in fleet.deaths
                if (death[1] in near) == (death[2] in near)])
            self.assert_agreed(fleet)

    def test_loss_of_a_failure_domain(self):
        """A whole site goes dark; one of its hosts seems to live on.

        A dead host whose watcher died with it is found by chance only.
        Ring neighbours are of different domains, so each is watched
        from outside.
        """
        for seed in range(24):
            fleet = figures.new_fleet(9, seed, LOSS)
            for address, daemon in list(fleet.daemons.items()):
                if daemon.me.domain == "domain-0":
                    fleet.stop(address)
            fleet.run(3.2)
            self.assert_agreed(fleet)

    def test_two_processes_under_one_name(self):
        """A replaced host's old process goes on; answers get mixed up.

        Both send as the same host. The later incarnation is the
        member; the earlier one is told so and stops taking part.
        """
        fleet = figures.new_fleet(6)
        old = fleet.daemons[_address(fleet, 1)]
        seed = fleet.daemons[_address(fleet, 0)].me
        new = fleet.add(old.me.host, old.me.domain,
                        [(seed.host, seed.address, 7001)],
                        figures.START + 1, "10.20.30.99")
        fleet.run(5.0)
        self.assertTrue(old.members.superseded)
        self.assertNotIn(old.me.host, membership.live(old))
        fleet.stop(old.me.address)
        for daemon in fleet.daemons.values():
            known = membership.info(daemon, old.me.host)
            self.assertEqual(new, known.address)
        self.assert_agreed(fleet)

    def test_restart_is_a_new_incarnation(self):
        """A host is restarted within a second; nobody noticed it go.

        The others still hold its first incarnation. The second takes
        its place, and what the first sent late changes nothing.
        """
        fleet = figures.new_fleet(6)
        old = fleet.stop(_address(fleet, 1))
        other = fleet.daemons[_address(fleet, 0)]
        place = (other.me.host, other.me.address, 7001)
        fleet.add(old.me.host, old.me.domain, [place],
                  figures.START + 1)
        fleet.run(3.0)
        self.assert_agreed(fleet)
        self.assertEqual([], fleet.deaths)
        leaving = membership.handle(old, events.DrainAsked(), 0.0)
        late = events.Received(old.me.host, old.me.incarnation,
                               leaving[0].message)
        membership.handle(other, late, fleet.now)
        self.assertTrue(membership.is_live(other, old.me.host))

    def test_leaving_host_is_known_at_once(self):
        """A host drains, yet callers are still sent to it for seconds.

        The news would ride on probes to one host a period; it is sent
        to the others at once, and twice, as a datagram may be lost.
        """
        for seed in SEEDS:
            fleet = figures.new_fleet(9, seed)
            daemon = fleet.daemons[_address(fleet, seed)]
            until = fleet.now + 0.09
            fleet.lost = lambda a, b, end=until: fleet.now < end
            fleet.tell(daemon, events.DrainAsked())
            fleet.run(0.15)
            for other in fleet.daemons.values():
                self.assertNotIn(daemon.me.host, membership.live(other))

    def test_fleet_of_listed_hosts_finds_itself(self):
        """All hosts were replaced at once and no seed address is left.

        The host list still names them; each tries those it names.
        """
        fleet = figures.Fleet(1)
        fleet.lost = lambda a, b: fleet.rng.random() < LOSS
        for index in range(9):
            fleet.add(f"new-{index}", f"domain-{index % 3}")
        fleet.run(1.0)
        listed = tuple(d.members.me for d in fleet.daemons.values())
        for daemon in fleet.daemons.values():
            membership.handle(
                daemon, events.HostListSeen(1, listed, ()), fleet.now)
        fleet.run(4.0)
        self.assert_agreed(fleet)

    def test_newcomer_learns_of_all(self):
        """A host joins a larger fleet and knows few hosts for a minute.

        Probes and news would tell it of the others little by little;
        the seeds it first speaks to tell it of all at once.
        """
        fleet = figures.new_fleet(60, 1, LOSS)
        seeds = [(d.me.host, d.me.address, 7001)
                 for d in list(fleet.daemons.values())[:3]]
        new = fleet.add("newcomer", "domain-0", seeds)
        fleet.run(2.0)
        self.assertEqual(61, len(membership.live(fleet.daemons[new])))

    def test_dead_hosts_are_forgotten_after_a_while(self):
        """Memory grows as 300 hosts a day are replaced.

        Those that don't come back are kept a bounded time only.
        """
        fleet = figures.new_fleet(3)
        fleet.stop(_address(fleet, 0))
        fleet.run(20.0)
        for daemon in fleet.daemons.values():
            self.assertEqual(3, len(membership.everyone(daemon)))
            membership.handle(daemon, events.TimerFired(probing.TICK),
                              fleet.now + params.DEAD_KEPT_S)
            self.assertEqual(2, len(membership.everyone(daemon)))
