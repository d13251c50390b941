"""Faults around the dispatcher: leaving engines, takeover, dead hosts."""

import collections
import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import messages
from tests.dispatch import support

OTHER_HOST = "entry-1"
SLOTS_PER_ENGINE = 8


def _running(number, engine):
    return messages.Running(
        f"old{number}", 1, support.CELL, engine, "guide", "swan", 1)


def _count_by_engine(harness, running):
    count = collections.Counter(run.engine for run in running)
    count.update(grant.engine for grant in harness.running.values())
    return count


class LeavingTest(unittest.TestCase):
    """A leaving backend server gets no new work."""

    def test_leaving_engine_gets_no_grant(self):
        """No work is granted on a server that the host list says is leaving.

        An older version of the list still shows the server as live. Work
        granted on its basis would be cut off.
        """
        harness = support.new_harness(count=2)
        support.deliver(harness, support.host_list(
            harness.engines, at=3, leaving=("engine-0",)))
        support.deliver(harness, support.host_list(harness.engines, at=2))
        for number in range(20):
            support.enqueue(harness, f"r{number}")
        engines = {grant.engine for grant in harness.running.values()}
        self.assertEqual({"engine-1"}, engines)

    def test_leaving_is_learned_from_a_peer(self):
        """A peer's message that a server is leaving is applied.

        The host list is unavailable to this host, so otherwise the server
        would get new work during the whole outage.
        """
        harness = support.new_harness(count=2)
        support.receive(harness, messages.HostListNews(2, ("engine-0",)))
        support.enqueue(harness, "r")
        self.assertEqual("engine-1", harness.running[("r", 1)].engine)


class TakeoverTest(unittest.TestCase):
    """A new dispatcher learns what is running before it grants."""

    def _new_dispatcher(self, reported):
        harness = support.new_harness(count=1, is_settled=False)
        self._add_member(harness.daemon)
        harness.daemon.dispatch.cells.clear()
        harness.daemon.dispatch.topology = None
        if reported:
            support.deliver(harness, events.EngineLoadSeen(
                "engine-0", True, "boot", running=6))
        support.enqueue(harness, "r0")
        for number in range(1, 12):
            support.enqueue(harness, f"r{number}")
        return harness

    def _add_member(self, daemon):
        update = messages.MemberUpdate(
            OTHER_HOST, 1, "alive", "127.0.0.2", 7000)
        probe = messages.Probe(1, (update,))
        membership.handle(daemon, events.Received(OTHER_HOST, 1, probe), 0.0)
        self.assertEqual((support.LOCAL_HOST, OTHER_HOST),
                         membership.live(daemon))

    def _fail_member(self, harness):
        # The membership's probes of the other host get no answer.
        pending = membership.handle(
            harness.daemon, events.Started(), harness.now)
        for _ in range(200):
            timers = [e for e in pending if type(e) is effects.SetTimer]
            pending = []
            harness.now += 0.1
            for timer in timers:
                pending += membership.handle(
                    harness.daemon, events.TimerFired(timer.key), harness.now)
        self.assertEqual((support.LOCAL_HOST,),
                         membership.live(harness.daemon))

    def test_grants_wait_for_the_entry_hosts(self):
        """A new dispatcher does not overfill engines.

        Engines that are already full would be filled again after their
        dispatcher died, and all answers would slow down. The successor
        asks the entry hosts for their running attempts first, and until
        they answer grants only slots that are certainly free.
        """
        harness = self._new_dispatcher(reported=False)
        self.assertEqual({}, harness.running)
        running = tuple(_running(n, "engine-0") for n in range(5))
        support.receive(
            harness, messages.Reregister(support.CELL, (), running),
            OTHER_HOST)
        local = tuple(harness.enqueued.values())
        support.receive(harness, messages.Reregister(support.CELL, local))
        self.assertEqual(SLOTS_PER_ENGINE,
                         _count_by_engine(harness, running)["engine-0"])

    def test_a_load_report_shows_free_slots(self):
        """A new dispatcher grants the slots that a load report shows free.

        The engine reports 6 of its 8 slots busy, and the entry hosts have
        not answered yet. Two more attempts are safe; more would overload
        it.
        """
        harness = self._new_dispatcher(reported=True)
        self.assertEqual(2, len(harness.running))

    def test_a_silent_entry_host_costs_at_most_twice_the_slots(self):
        """An entry host that answers late causes only bounded overload.

        Its running attempts are unknown when the settling time is over,
        so the engine is filled once more. After its answer nothing is
        granted until these attempts have ended.
        """
        harness = self._new_dispatcher(reported=False)
        running = tuple(_running(n, "engine-0")
                        for n in range(SLOTS_PER_ENGINE))
        support.advance(harness, 1.0)
        count = _count_by_engine(harness, running)["engine-0"]
        self.assertEqual(2 * SLOTS_PER_ENGINE, count)
        support.receive(
            harness, messages.Reregister(support.CELL, (), running),
            OTHER_HOST)
        for key in sorted(harness.running):
            support.end_attempt(harness, key)
        self.assertEqual({}, harness.running)

    def test_slots_of_a_dead_entry_host_are_reclaimed(self):
        """The slots of a dead entry host are granted again.

        The host will never release them. While they are counted, engines
        are idle although callers wait.
        """
        harness = self._new_dispatcher(reported=False)
        running = tuple(_running(n, "engine-0")
                        for n in range(SLOTS_PER_ENGINE))
        support.receive(
            harness, messages.Reregister(support.CELL, (), running),
            OTHER_HOST)
        support.advance(harness, 1.0)
        self.assertEqual({}, harness.running)
        self._fail_member(harness)
        support.advance(harness, 1.0)
        self.assertEqual(SLOTS_PER_ENGINE, len(harness.running))


if __name__ == "__main__":
    unittest.main()
