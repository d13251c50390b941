"""Tests of uneven engines, workspaces, and bursts of a class or workspace."""

import collections
import random
import statistics
import unittest
from unittest import mock

from emulator import clock as clocks
from emulator import deployment as deployments
from emulator import engine as engines
from emulator import hosts
from emulator import noise
from emulator import run
from emulator import tally as tallies
from tests.emulator import test_engine
from tests.emulator import test_run

NOISY = deployments.Engines(
    noise_share=0.15, noise_times=2.5, noise_ms=600.0)
SPAN_S = 2_000.0


def arrivals(deployment, seed=1):
    """Return the ended callers of a run."""
    ended = []
    with mock.patch.object(tallies.Tally, "record_outcome",
                           lambda _, caller: ended.append(caller)):
        run.played(deployment, seed)
    return ended


class UnevenEngineTest(unittest.TestCase):
    """Engines of several speeds, and noise of their machines."""

    def test_speeds_are_dealt_out_and_replacements_keep_them(self):
        # Guards against a mix of speeds that drifts with each crash.
        world = run.World(test_run.small(engines=deployments.Engines(
            count=3, speeds=(0.55, 1.2))), 1)
        world.start()
        self.assertEqual([0.55, 1.2, 0.55], [
            server.speed for server in world.engines()])
        world.replace(world.engines()[2])
        world.add_engine()
        self.assertEqual([0.55, 1.2], [
            server.speed for server in world.engines()[3:]])

    def test_slow_engine_takes_longer_by_its_speed(self):
        durations = []
        for speed in (1.0, 0.55):
            clock = clocks.Clock(0.0)
            engine = engines.Engine(
                clock, "e1", test_engine.CFG, tallies.Tally(0.0))
            engine.speed = speed
            listener = test_engine._Listener(clock)
            engine.submit(engines.Run(listener, test_engine.model.Prompt(
                (("own", 1_000),), 1_000, 20), 3, 1))
            clock.run(1.0)
            durations.append(listener.notified[-1][1])
        self.assertAlmostEqual(
            durations[0] / 0.55, durations[1], delta=0.002)

    def test_noise_takes_its_share_in_its_stretches(self):
        # Guards against a load figure that differs from the step time, and
        # against engines that slow down in step.
        clock = clocks.Clock(0.0)
        slowed, spans = collections.Counter(), []
        noisy = [engines.Engine(clock, sid, NOISY, None) for sid in "ab"]
        for engine in noisy:
            noise.start(engine, random.Random(engine.sid))
        since, together = None, 0
        while clock.now < SPAN_S:
            clock.run(clock.now + 0.05)
            loads = [engine.load()[3] for engine in noisy]
            self.assertEqual([100 * each.noise for each in noisy], loads)
            slowed.update(loads)
            together += loads == [250, 250]
            if loads[0] == 100 and since is not None:
                spans.append(clock.now - since)
                since = None
            elif loads[0] == 250 and since is None:
                since = clock.now
        self.assertEqual({100, 250}, set(slowed))
        total = sum(slowed.values())
        self.assertAlmostEqual(0.15, slowed[250] / total, delta=0.02)
        self.assertAlmostEqual(0.6, statistics.mean(spans), delta=0.1)
        self.assertLess(together, 0.05 * total / 2)

    def test_engine_without_noise_reports_three_figures(self):
        # Hosts of the former version take a longer tuple for an error.
        engine = engines.Engine(
            clocks.Clock(0.0), "e1", test_engine.CFG, None)
        noise.start(engine, random.Random(1))
        self.assertEqual((0, 0, 2), engine.load())


class BurstTest(unittest.TestCase):
    """Bursts of one class and of one workspace leave the rest as it is."""

    def test_class_burst_multiplies_one_kind_for_its_duration(self):
        fault = deployments.Fault(
            "class_burst", 2.0, 4.0, times=3.0, of="draft")
        counts = []
        for faults in ((), (fault,)):
            ended = arrivals(test_run.small(*faults, seconds=9.0))
            counts.append(collections.Counter(
                (caller.kind.name, 104.0 <= caller.at < 108.0)
                for caller in ended))
        usual, burst = counts
        self.assertGreater(burst["draft", True], 2 * usual["draft", True])
        for key in (("chat", True), ("draft", False)):
            self.assertAlmostEqual(
                usual[key], burst[key], delta=0.35 * usual[key])

    def test_others_send_the_same_beside_a_hot_workspace(self):
        # Guards against shares that differ only because other callers came.
        fault = deployments.Fault("hot_workspace", 1.0, 6.0, times=8.0)
        sent = []
        for faults in ((), (fault,)):
            ended = arrivals(test_run.small(*faults, workspaces=4))
            sent.append(collections.defaultdict(list))
            for caller in ended:
                sent[-1][caller.workspace].append(
                    (caller.at, caller.kind.name, caller.subject))
        usual, hot = sent
        self.assertEqual({"w0", "w1", "w2", "w3"}, set(usual))
        for name in ("w1", "w2", "w3"):
            self.assertEqual(sorted(usual[name]), sorted(hot[name]))
        self.assertLess(set(usual["w0"]), set(hot["w0"]))
        self.assertGreater(len(hot["w0"]), 4 * len(usual["w0"]))

    def test_callers_send_keys_that_hosts_know(self):
        # Guards against a run in which hosts answer all with 401.
        world = run.played(test_run.small(workspaces=3, seconds=4.0), 2)
        self.assertFalse(world.catalog.routes["desk"][0].public)
        shares = tallies.served_shares(
            world.tally.by_workspace, by=("workspace",))
        self.assertEqual({"w0", "w1", "w2"}, set(shares))
        self.assertGreater(min(shares.values()), 0.9)

    def test_served_shares_by_workspace_and_class(self):
        counts = {("w0", "chat", "on time"): 3, ("w0", "chat", "refused"): 1,
                  ("w0", "draft", "late"): 2, ("w1", "chat", "failed"): 4}
        self.assertEqual(
            {("w0", "chat"): 0.75, ("w0", "draft"): 1.0, ("w1", "chat"): 0.0},
            tallies.served_shares(counts))
        self.assertEqual({"chat": 0.375, "draft": 0.0}, tallies.served_shares(
            counts, ("on time",), by=("kind",)))


class FieldsTest(unittest.TestCase):
    """The fields of these loads are validated, and reach the hosts."""

    def _errors(self, **fields):
        kind = {"name": "chat", "kind": "stream", "a_second": 1.0}
        try:
            deployments._parse_deployment("d", {"kinds": [kind], **fields})
        except deployments.InvalidDeploymentError as exc:
            return [error.id for error in exc.errors]
        return []

    def test_invalid_fields_are_rejected(self):
        for expected, fields in (
                ("E003", {"engines": {"speeds": [1.0, 0]}}),
                ("E003", {"engines": {"speeds": 0.55}}),
                ("E009", {"engines": {"noise_share": 1.0}}),
                ("E009", {"engines": {"noise_times": 0}}),
                ("E003", {"workspaces": -1}),
                ("E010", {"faults": [{"kind": "class_burst", "at": 1}]}),
                ("E010", {"faults": [
                    {"kind": "burst", "at": 1, "of": "chat"}]}),
                ("E010", {"workspaces": 2, "faults": [
                    {"kind": "hot_workspace", "at": 1, "times": 1}]}),
                ("E010", {"faults": [
                    {"kind": "hot_workspace", "at": 1, "times": 8}]}),
                ("E011", {"scheduling": [4.5]}),
                ("E011", {"scheduling": {"patience": 4.5}})):
            with self.subTest(fields=fields):
                self.assertEqual(
                    [f"emulator.{expected}"], self._errors(**fields))
        self.assertEqual([], self._errors(
            workspaces=2, engines={"speeds": [0.55, 1.2]},
            faults=[{"kind": "hot_workspace", "at": 1, "times": 8},
                    {"kind": "class_burst", "at": 1, "times": 2,
                     "of": "chat"}]))

    def test_scheduling_reaches_each_host_if_it_is_set(self):
        # The settings' module is a stand-in: the test holds before and
        # after hosts have scheduling.
        settings = mock.Mock()
        package = mock.Mock(settings=settings)
        names = ("crocuskeel.core.scheduling",
                 "crocuskeel.core.scheduling.settings")
        given = []
        new_host = hosts.entry.new_host

        def record(cfg, rng, **kwargs):
            given.append(kwargs)
            return new_host(cfg, rng)

        with (mock.patch.dict("sys.modules", zip(names, (package, settings))),
              mock.patch.object(hosts.entry, "new_host", record)):
            run.World(test_run.small(), 1).start()
            run.World(test_run.small(
                scheduling={"min_patience": 4.5}), 1).start()
        settings.Settings.assert_called_with(min_patience=4.5)
        self.assertEqual(
            [{}] * 3 + [{"scheduling": settings.Settings()}] * 3, given)


if __name__ == "__main__":
    unittest.main()
