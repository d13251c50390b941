"""Faults around the dispatcher: leaving engines, takeover, dead doors."""

import collections
import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import messages
from tests.dispatch import support

OTHER = "entry-1"
MOST = 8


def _running(number, engine):
    return messages.Running(
        f"old{number}", 1, support.CELL, engine, "guide", "swan", 1)


def _on_engines(bench, held):
    count = collections.Counter(run.engine for run in held)
    count.update(grant.engine for grant in bench.running.values())
    return count


class LeavingTest(unittest.TestCase):
    """A leaving backend server gets no new work."""

    def test_leaving_engine_gets_no_grant(self):
        """A booking is sent to a server that is being taken down.

        The host list says that the server leaves; an older copy of the
        list still calls it live. Work granted after that is cut off.
        """
        bench = support.new_bench(count=2)
        support.deliver(bench, support.host_list(
            bench.engines, at=3, leaving=("engine-0",)))
        support.deliver(bench, support.host_list(bench.engines, at=2))
        for number in range(20):
            support.ask(bench, f"r{number}")
        engines = {grant.engine for grant in bench.running.values()}
        self.assertEqual({"engine-1"}, engines)

    def test_news_of_a_peer_suffices(self):
        """The platform's host list is down for this host.

        A peer has seen that the server leaves and says so; without
        heeding it the server would get new work for the whole outage.
        """
        bench = support.new_bench(count=2)
        support.receive(bench, messages.HostListNews(2, ("engine-0",)))
        support.ask(bench, "r")
        self.assertEqual("engine-1", bench.running[("r", 1)].engine)


class TakeoverTest(unittest.TestCase):
    """A new dispatcher learns what runs before it grants."""

    def _taken(self, reported):
        bench = support.new_bench(count=1, settled=False)
        self._join(bench.daemon)
        bench.daemon.dispatch.cells.clear()
        bench.daemon.dispatch.view = None
        if reported:
            support.deliver(bench, events.EngineLoadSeen(
                "engine-0", True, "boot", running=6))
        support.ask(bench, "r0")
        for number in range(1, 12):
            support.ask(bench, f"r{number}")
        return bench

    def _join(self, daemon):
        update = messages.MemberUpdate(OTHER, 1, "alive", "127.0.0.2", 7000)
        probe = messages.Probe(1, (update,))
        membership.handle(daemon, events.Received(OTHER, 1, probe), 0.0)
        self.assertEqual((support.ME, OTHER), membership.live(daemon))

    def _die(self, bench):
        # Nobody answers the membership's probes of the other host.
        pending = membership.handle(
            bench.daemon, events.Started(), bench.now)
        for _ in range(200):
            timers = [e for e in pending if type(e) is effects.SetTimer]
            pending = []
            bench.now += 0.1
            for timer in timers:
                pending += membership.handle(
                    bench.daemon, events.TimerFired(timer.key), bench.now)
        self.assertEqual((support.ME,), membership.live(bench.daemon))

    def test_grants_wait_for_the_doors(self):
        """Engines are not filled twice when a dispatcher dies.

        Answers slow down for all right after an entry host dies: its
        successor fills engines that are full already. It asks the doors
        first, and until they answer grants only what is surely free.
        """
        bench = self._taken(reported=False)
        self.assertEqual({}, bench.running)
        held = tuple(_running(n, "engine-0") for n in range(5))
        support.receive(bench, messages.Reregister(support.CELL, (), held),
                        OTHER)
        mine = tuple(bench.asked.values())
        support.receive(bench, messages.Reregister(support.CELL, mine))
        self.assertEqual(MOST, _on_engines(bench, held)["engine-0"])

    def test_a_load_report_shows_what_is_free(self):
        """Work goes on right after a dispatcher died.

        The engine reports 6 of its 8 slots busy, and the doors have not
        answered yet. Two more attempts are safe; more would crowd it.
        """
        bench = self._taken(reported=True)
        self.assertEqual(2, len(bench.running))

    def test_a_silent_door_costs_at_most_twice_the_slots(self):
        """A door answers the new dispatcher too late.

        Its running work is unknown when the settling time is over, so
        the engine is filled again: up to the stated bound. Once the door
        has answered, nothing is granted until that work is done.
        """
        bench = self._taken(reported=False)
        held = tuple(_running(n, "engine-0") for n in range(MOST))
        support.advance(bench, 1.0)
        count = _on_engines(bench, held)["engine-0"]
        self.assertEqual(2 * MOST, count)
        support.receive(bench, messages.Reregister(support.CELL, (), held),
                        OTHER)
        for key in sorted(bench.running):
            support.finish(bench, key)
        self.assertEqual({}, bench.running)

    def test_slots_of_a_dead_door_are_reclaimed(self):
        """An entry host dies and its slots are used again.

        The engines stand idle with callers waiting, because the slots of
        a host that will never release them are still counted.
        """
        bench = self._taken(reported=False)
        held = tuple(_running(n, "engine-0") for n in range(MOST))
        support.receive(bench, messages.Reregister(support.CELL, (), held),
                        OTHER)
        support.advance(bench, 1.0)
        self.assertEqual({}, bench.running)
        self._die(bench)
        support.advance(bench, 1.0)
        self.assertEqual(MOST, len(bench.running))


if __name__ == "__main__":
    unittest.main()
