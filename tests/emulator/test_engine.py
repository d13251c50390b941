"""Tests of the server models and of deployment validation."""

import unittest

from crocuskeel.core.entry import model
from emulator import clock as clocks
from emulator import deployment as deployments
from emulator import engine as engines
from emulator import faults
from emulator import tally as tallies

CFG = deployments.Engines(
    slots=2, memory=20_000, read_tokens_s=50_000, step_ms=5.0,
    running_ms=0.0, chunk=1_000, event_tokens=5, fetch_token_us=10.0)
WORK = deployments.Plain(slots=1, work_ms=50)


class _Listener:
    """Records each notification with its time."""

    def __init__(self, clock):
        self.clock = clock
        self.notified = []

    def __getattr__(self, name):
        return lambda run: self.notified.append(
            (name, round(self.clock.now, 3)))


class EngineTest(unittest.TestCase):
    """Steps, prefills between them, cache memory and faults."""

    def setUp(self):
        self.clock = clocks.Clock(0.0)
        self.tally = tallies.Tally(0.0)
        self.engine = engines.Engine(self.clock, "e1", CFG, self.tally)

    def _begin(self, own="own-1", shared=4_000, events=3, priority=1,
               engine=None, source=None):
        listener = _Listener(self.clock)
        prompt = model.Prompt(
            ((f"shared-{shared}", shared), (own, 1_000)), shared + 1_000,
            20)
        run = engines.Run(listener, prompt, events, priority)
        (engine or self.engine).submit(run, source)
        return run, listener

    def test_prompt_is_prefilled_before_events(self):
        # 5,000 tokens take five steps of 5 ms with 20 ms of prefill each; an
        # event has five tokens, 5 ms each.
        _, listener = self._begin()
        self.clock.run(1.0)
        self.assertEqual(
            [("opened", 0.15), ("progressed", 0.175),
             ("progressed", 0.2), ("ended", 0.2)], listener.notified)

    def test_shared_parts_are_prefilled_once(self):
        self._begin()
        self.clock.run(1.0)
        run, _ = self._begin("own-2")
        self.assertEqual(1_000, run.unread_tokens)
        self.assertEqual(0, self.tally.recomputed_tokens)

    def test_long_prompts_delay_running_streams(self):
        _, chat = self._begin("own-1", shared=0, events=4)
        self.clock.run(0.06)
        self._begin("own-2", shared=9_000)
        self.clock.run(1.0)
        times = [at for _, at in chat.notified]
        self.assertGreater(times[-1] - times[0], 0.25)

    def test_most_urgent_waiting_request_is_next(self):
        for number in range(2):
            self._begin(f"own-{number}")
        _, low = self._begin("low", priority=5)
        _, top = self._begin("top", priority=0)
        self.clock.run(2.0)
        self.assertLess(top.notified[0][1], low.notified[0][1])

    def test_parts_are_evicted_when_memory_is_full(self):
        self._begin()
        self.clock.run(1.0)
        for number in range(5):
            self._begin(f"own-{number}", shared=4_000 + number)
            self.clock.run(self.clock.now + 1.0)
        self.assertLessEqual(self.engine.cached_tokens, CFG.memory)

    def test_parts_are_fetched_from_another_engine(self):
        self._begin()
        self.clock.run(1.0)
        other = engines.Engine(self.clock, "e2", CFG, self.tally)
        run, listener = self._begin(
            "own-2", engine=other, source=self.engine)
        self.assertEqual((1_000, 4_000), (
            run.unread_tokens, self.tally.fetched_tokens))
        self.clock.run(2.0)
        # 4,000 tokens at 10 us each arrive before the rest is prefilled.
        self.assertGreaterEqual(listener.notified[0][1], 1.04)

    def test_cancelled_request_stops_at_once(self):
        run, listener = self._begin()
        self.clock.run(0.01)
        self.engine.cancel(run)
        self.clock.run(1.0)
        self.assertEqual([], listener.notified)

    def test_crash_breaks_all_connections(self):
        _, listener = self._begin()
        self.clock.run(0.01)
        self.engine.crash()
        self.clock.run(1.0)
        self.assertEqual([("broken", 0.01)], listener.notified)

    def test_unresponsive_engine_is_silent_until_it_resumes(self):
        _, listener = self._begin()
        self.engine.set_unresponsive(True)
        self.clock.run(1.0)
        self.assertEqual([], listener.notified)
        self.engine.set_unresponsive(False)
        self.clock.run(2.0)
        self.assertEqual("ended", listener.notified[-1][0])

    def test_request_beyond_the_queue_is_refused(self):
        found = [self.engine.submit(engines.Run(
            _Listener(self.clock), model.Prompt(
                ((f"own-{number}", 100),), 100, 20), 1, 5))
            for number in range(engines.MAX_WAITING + CFG.slots + 1)]
        self.assertEqual([False], [each for each in found if not each])

    def test_plain_server_runs_calls_in_order(self):
        server = engines.PlainServer(self.clock, "p1", WORK)
        listeners = [_Listener(self.clock) for _ in range(2)]
        for listener in listeners:
            server.submit(engines.Run(listener, None, 0, 5))
        self.clock.run(1.0)
        self.assertEqual([[("ended", 0.05)], [("ended", 0.1)]],
                         [each.notified for each in listeners])


class ValidationTest(unittest.TestCase):
    """Invalid deployments are rejected with all of their errors."""

    def test_bundled_deployments_are_valid(self):
        for name in deployments.bundled_names():
            self.assertGreater(len(deployments.read(name).kinds), 1)

    def test_each_error_is_reported(self):
        found = {"hosts": 0, "engines": {"slots": "many"}, "kinds": [
            {"name": "chat", "kind": "stream"},
            {"name": "talk", "kind": "chat", "a_second": 0.0}],
            "faults": [{"kind": "flood", "at": 1.0}], "sources": []}
        with self.assertRaises(deployments.InvalidDeploymentError) as caught:
            deployments._parse_deployment("bad", found)
        self.assertEqual(
            ["emulator.E003", "emulator.E003", "emulator.E006",
             "emulator.E007", "emulator.E008", "emulator.E008",
             "emulator.E003"],
            [fault.id for fault in caught.exception.errors])

    def test_hosts_must_be_a_positive_integer(self):
        for value in (2.5, True, "two", 0):
            with (self.subTest(value=value),
                  self.assertRaises(
                      deployments.InvalidDeploymentError) as caught):
                deployments._parse_deployment("bad", {
                    "hosts": value, "kinds": [{
                        "name": "chat", "kind": "stream",
                        "a_second": 1.0}]})
            self.assertEqual(["emulator.E003"], [
                fault.id for fault in caught.exception.errors])

    def test_each_known_fault_has_an_implementation(self):
        self.assertEqual(set(deployments.FAULTS), set(faults.FAULTS))
