"""What is ordered, when and at what pace."""

import unittest

import hypothesis
from hypothesis import strategies as st

from crocuskeel.core import control
from crocuskeel.core.control import events
from tests.control import test_lease
from tests.control import world as worlds

FRESH_S = 3 * control.Config("h").observe_s


class RolloutTest(unittest.TestCase):
    """Release days and their faults."""

    def test_two_operators_at_once(self):
        """Half of a pool runs a version that was replaced at once.

        An order is decided under one generation; a second operator's
        batch is accepted before it goes out; and an answer from before
        that batch comes last. Cause: orders of a plan that is void.
        """
        world = test_lease.led_by_x()
        x = world.hosts["x"]
        x.unsent = []
        world.want("s", "m:2")
        world.run(4, "x")
        self.assertEqual(1, len(x.unsent))
        first, services = world.generation, world.services
        world.want("s", "m:3")
        world.feed(x, events.SettingsChecked(
            True, world.generation, {"services": world.services}))
        world.feed(x, events.SettingsChecked(
            True, first, {"services": services}))
        world.send_unsent(x)
        self.assertEqual([], world.landed)
        world.run(60, "x")
        self.assertEqual(
            {"3"}, {order.item.version for _, _, order, *_ in world.landed})

    def test_state_undone_behind_the_back(self):
        """An engine keeps a wrong version for ever.

        The holder's order was carried out; later another's order, or a
        hand, sets the version back. Cause: the order that repairs it
        has the id of the first and is taken for a repeat.
        """
        world = test_lease.led_by_x(checks=False)
        world.want("s", "m:2", False)
        world.run(60, "x")
        engine = world.engines["e0"]
        self.assertEqual("2", engine.version())
        engine.models["m"] = ("1", 0.0)
        world.run(60, "x")
        self.assertEqual("2", engine.version())

    def test_failing_loads_stop_only_their_rollout(self):
        """A broken version takes one engine after the other.

        Loads of one service's new version are refused. Its rollout
        must stop and say so, another's go on, and a new version of it
        be tried again. Cause: failures that nobody counts.
        """
        world = test_lease.led_by_x()
        for number in range(4):
            world.add_engine(f"t{number}", "t", "a", True)
            world.engines[f"e{number}"].refuses = True
        world.want("s", "m:2")
        world.want("t", "m:2")
        world.run(240, "x")
        self.assertIn("rollout_paused", world.kinds("x"))
        refused = [order for *_, order, outcome, _ in world.landed
                   if outcome is worlds.Outcome.REFUSED]
        self.assertEqual(3, len(refused))
        versions = {name: engine.version()
                    for name, engine in world.engines.items()}
        self.assertEqual({"2"}, {versions[f"t{n}"] for n in range(4)})
        for engine in world.engines.values():
            engine.refuses = False
        world.want("s", "m:3")
        world.run(240, "x")
        self.assertIn("rollout_resumed", world.kinds("x"))
        self.assertEqual("3", world.engines["e0"].version())

    def test_weight_store_rate_over_a_takeover(self):
        """The weight store throttles every load on release day.

        x spends the whole burst and stops; y acquires the lease at
        once. Cause: y begins with a full bucket.
        """
        world = test_lease.led_by_x(
            count=24, share=1.0, domain_share=1.0)
        world.want("s", "m:2")
        world.run(2.5)
        world.feed(world.hosts["x"], events.StopAsked())
        world.run(30)
        self.assertTrue(world.hosts["y"].state.lease.holding)
        times = [at for at, *_ in world.landed]
        self.assertGreater(len(times), 10)
        cfg = world.hosts["x"].state.cfg
        for first, start in enumerate(times):
            for count, end in enumerate(times[first:], 1):
                self.assertLessEqual(
                    count, cfg.load_burst
                    + cfg.loads_per_s * (end - start))

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=100)
    @hypothesis.given(
        st.lists(st.tuples(
            st.integers(1, 16), st.sampled_from(["crash", "hang", "refuse"]),
            st.integers(0, 11)), max_size=12),
        st.sampled_from([0.2, 0.25, 0.5]))
    def test_share_kept_with_failing_engines(self, faults, share):
        """A pool serves nothing in the middle of a release day.

        While a rollout goes on, engines crash, hang or refuse. Cause:
        engines taken out besides those that are out already.
        """
        world = test_lease.led_by_x(
            count=12, share=share, domain_share=0.5, max_failures=100,
            load_burst=12.0, loads_per_s=5.0)
        world.want("s", "m:2")
        for wait_s, fault, number in faults:
            self.go(world, wait_s, share)
            engine = world.engines[f"e{number}"]
            if fault == "crash":
                engine.crash(world.now)
            elif fault == "hang":
                engine.crash(world.now, 20.0)
            else:
                engine.refuses = not engine.refuses
        self.go(world, 10, share)

    def go(self, world, span_s, share):
        """Run on, and judge each order to an engine that served."""
        for _ in range(span_s * 2):
            before = len(world.landed)
            lost = {engine.name for engine in world.engines.values()
                    if engine.out_since is not None
                    and world.now - engine.out_since > FRESH_S}
            world.run(0.5, "x")
            taken = {order.engine
                     for _, _, order, _, served in world.landed[before:]
                     if served}
            if not taken:
                continue
            out = {engine.name for engine in world.engines.values()
                   if not engine.serves(world.now)
                   and (engine.name in lost or engine.version() == "2")}
            self.assertLessEqual(
                len(out | lost), max(1, int(share * 12)), world.landed)
            for domain in {world.engines[name].domain for name in taken}:
                near = [name for name in out | lost
                        if world.engines[name].domain == domain]
                self.assertLessEqual(len(near), 2)


class PropertyTest(unittest.TestCase):
    """The invariant of models/orders.pml, on the reducer itself."""

    RUN = st.tuples(st.just("run"), st.integers(2, 20))
    STEP = st.one_of(
        RUN, RUN, RUN, RUN,
        st.tuples(st.just("pause"), st.sampled_from("xy")),
        st.tuples(st.just("wake"), st.sampled_from("xy")),
        st.tuples(st.sampled_from(["well", "lost", "out", "out"]),
                  st.sampled_from("xy")),
        st.tuples(st.just("late"), st.sampled_from("xy")),
        st.tuples(st.just("writes"), st.just(0)))

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200)
    @hypothesis.given(
        st.lists(STEP, min_size=20, max_size=40),
        st.sampled_from([(1.0, 1.0), (0.95, 1.05), (1.05, 0.95)]),
        st.booleans())
    def test_no_old_order_after_a_newer_one(self, steps, rates, slow):
        """An engine that checks nothing ends as an old holder wanted.

        Hosts pause and wake, lose writes and answers; orders arrive as
        late as their bound allows. Cause: two holders whose orders
        overlap in time.
        """
        world = worlds.World(
            count=3, checks=False, rates=rates, share=1.0,
            span_s=6.0, margin_s=1.0, renew_s=1.5, order_s=5.0,
            loads_per_s=10.0, observe_s=1.0, max_failures=1000)
        world.run(12)
        self.given_up = []
        for host in world.hosts.values():
            host.transit = [] if slow else None
        for name, value in steps:
            self.take(world, name, value)
            for engine in world.engines:
                fences = [fence for _, fence in world.taken(engine)]
                self.assertEqual(sorted(fences), fences)

    def take(self, world, name, value):
        """Take one step; orders on their way land at their bound."""
        host = world.hosts.get(value)
        if name == "run":
            for _ in range(value):
                world.want("s", f"m:{world.generation + 1}", False)
                world.run(0.5)
                world.run(0.5)
                self.land_due(world)
        elif name == "pause":
            host.paused = True
        elif name == "wake":
            world.wake(host)
        elif name == "writes":
            world.land_writes()
        else:
            host.fault = name

    def land_due(self, world):
        """Give orders up at their bound; land them a margin later."""
        for host in world.hosts.values():
            cfg = host.state.cfg
            for sent_at, order in list(host.transit or ()):
                age_s = world.now - sent_at
                if age_s >= cfg.order_s and order not in self.given_up:
                    self.given_up.append(order)
                    world.answer(host, order, worlds.Outcome.UNKNOWN)
                if age_s >= cfg.order_s + cfg.margin_s:
                    host.transit.remove((sent_at, order))
                    self.given_up.remove(order)
                    world.land(host, order)
