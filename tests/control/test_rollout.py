"""Which orders are sent, when and at what rate."""

import unittest

import hypothesis
from hypothesis import strategies as st

from crocuskeel.core import control
from crocuskeel.core.control import events
from tests.control import test_lease
from tests.control import world as worlds

MAX_OBSERVATION_AGE_S = 3 * control.Config("h").observe_s


class RolloutTest(unittest.TestCase):
    """Rollouts under faults."""

    def test_two_operators_at_once(self):
        """A pool must not run a version that was replaced immediately.

        An order is decided under one generation; a second operator's
        batch is accepted before it is sent; and a settings answer from
        before that batch arrives last. The failure occurs if orders of
        an outdated plan are sent.
        """
        world = test_lease.world_with_holder_x()
        x = world.hosts["x"]
        x.held_orders = []
        world.want("s", "m:2")
        world.run(4, "x")
        self.assertEqual(1, len(x.held_orders))
        first, services = world.generation, world.services
        world.want("s", "m:3")
        world.feed(x, events.SettingsChecked(
            True, world.generation, {"services": world.services}))
        world.feed(x, events.SettingsChecked(
            True, first, {"services": services}))
        world.send_held_orders(x)
        self.assertEqual([], world.delivered)
        world.run(60, "x")
        self.assertEqual(
            {"3"}, {order.item.version for _, _, order, *_ in world.delivered})

    def test_state_reverted_by_another_party(self):
        """An engine must not keep a wrong version forever.

        The holder's order was executed; later another party's order or
        a manual change reverts the version. The failure occurs if the
        order that repairs it has the same id as the first, so that the
        engine treats it as a duplicate.
        """
        world = test_lease.world_with_holder_x(checks_fence=False)
        world.want("s", "m:2", False)
        world.run(60, "x")
        engine = world.engines["e0"]
        self.assertEqual("2", engine.version())
        engine.models["m"] = ("1", 0.0)
        world.run(60, "x")
        self.assertEqual("2", engine.version())

    def test_failing_loads_pause_only_their_rollout(self):
        """A broken version must not take out one engine after the other.

        Loads of one service's new version are refused. Its rollout must
        pause and record this, another service's must continue, and a
        newer version must be tried. The failure occurs if failures are
        not counted.
        """
        world = test_lease.world_with_holder_x()
        for number in range(4):
            world.add_engine(f"t{number}", "t", "a", True)
            world.engines[f"e{number}"].refuses_orders = True
        world.want("s", "m:2")
        world.want("t", "m:2")
        world.run(240, "x")
        self.assertIn("rollout_paused", world.record_kinds("x"))
        refused = [order for *_, order, outcome, _ in world.delivered
                   if outcome is worlds.Outcome.REFUSED]
        self.assertEqual(3, len(refused))
        versions = {name: engine.version()
                    for name, engine in world.engines.items()}
        self.assertEqual({"2"}, {versions[f"t{n}"] for n in range(4)})
        for engine in world.engines.values():
            engine.refuses_orders = False
        world.want("s", "m:3")
        world.run(240, "x")
        self.assertIn("rollout_resumed", world.record_kinds("x"))
        self.assertEqual("3", world.engines["e0"].version())

    def test_weight_store_rate_over_a_takeover(self):
        """A takeover must not exceed the weight store's rate limit.

        x spends the whole burst and stops; y acquires the lease at
        once. The failure occurs if y starts with a full bucket; the
        weight store then throttles every load.
        """
        world = test_lease.world_with_holder_x(
            count=24, share=1.0, domain_share=1.0)
        world.want("s", "m:2")
        world.run(2.5)
        world.feed(world.hosts["x"], events.StopAsked())
        world.run(30)
        self.assertTrue(world.hosts["y"].state.lease.holding)
        times = [at for at, *_ in world.delivered]
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
        """A rollout must not make a whole pool unavailable.

        During the rollout engines crash, hang or refuse orders. The
        failure occurs if orders go to further engines without counting
        those that are already unavailable.
        """
        world = test_lease.world_with_holder_x(
            count=12, share=share, domain_share=0.5, max_failures=100,
            load_burst=12.0, loads_per_s=5.0)
        world.want("s", "m:2")
        for wait_s, fault, number in faults:
            self.run_and_check(world, wait_s, share)
            engine = world.engines[f"e{number}"]
            if fault == "crash":
                engine.crash(world.now)
            elif fault == "hang":
                engine.crash(world.now, 20.0)
            else:
                engine.refuses_orders = not engine.refuses_orders
        self.run_and_check(world, 10, share)

    def run_and_check(self, world, span_s, share):
        """Advance the time and check each order to a serving engine."""
        for _ in range(span_s * 2):
            before = len(world.delivered)
            lost = {engine.name for engine in world.engines.values()
                    if engine.unavailable_since is not None
                    and (world.now - engine.unavailable_since
                         > MAX_OBSERVATION_AGE_S)}
            world.run(0.5, "x")
            ordered = {order.engine
                       for _, _, order, _, served in world.delivered[before:]
                       if served}
            if not ordered:
                continue
            unavailable = {
                engine.name for engine in world.engines.values()
                if not engine.serves(world.now)
                and (engine.name in lost or engine.version() == "2")}
            self.assertLessEqual(
                len(unavailable | lost), max(1, int(share * 12)),
                world.delivered)
            for domain in {world.engines[name].domain for name in ordered}:
                in_domain = [name for name in unavailable | lost
                             if world.engines[name].domain == domain]
                self.assertLessEqual(len(in_domain), 2)


class PropertyTest(unittest.TestCase):
    """The invariant of models/orders.pml, checked on the reducer."""

    RUN = st.tuples(st.just("run"), st.integers(2, 20))
    STEP = st.one_of(
        RUN, RUN, RUN, RUN,
        st.tuples(st.just("pause"), st.sampled_from("xy")),
        st.tuples(st.just("resume"), st.sampled_from("xy")),
        st.tuples(st.sampled_from(
            ["none", "lost", "unavailable", "unavailable"]),
            st.sampled_from("xy")),
        st.tuples(st.just("late"), st.sampled_from("xy")),
        st.tuples(st.just("late_writes"), st.just(0)))

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200)
    @hypothesis.given(
        st.lists(STEP, min_size=20, max_size=40),
        st.sampled_from([(1.0, 1.0), (0.95, 1.05), (1.05, 0.95)]),
        st.booleans())
    def test_no_old_order_after_a_newer_one(self, steps, clock_rates, delayed):
        """An old holder's order must not follow a newer holder's.

        The engines don't check fencing numbers. Hosts pause and resume,
        lose writes and answers; orders arrive as late as their time
        limit allows. The failure occurs if the orders of two holders
        overlap in time.
        """
        world = worlds.World(
            count=3, checks_fence=False, clock_rates=clock_rates, share=1.0,
            span_s=6.0, margin_s=1.0, renew_s=1.5, order_s=5.0,
            loads_per_s=10.0, observe_s=1.0, max_failures=1000)
        world.run(12)
        self.timed_out = []
        for host in world.hosts.values():
            host.in_transit = [] if delayed else None
        for name, value in steps:
            self.apply_step(world, name, value)
            for engine in world.engines:
                fences = [fence for _, fence in world.accepted_orders(engine)]
                self.assertEqual(sorted(fences), fences)

    def apply_step(self, world, name, value):
        """Apply one step; orders in transit arrive at their time limit."""
        host = world.hosts.get(value)
        if name == "run":
            for _ in range(value):
                world.want("s", f"m:{world.generation + 1}", False)
                world.run(0.5)
                world.run(0.5)
                self.deliver_due_orders(world)
        elif name == "pause":
            host.paused = True
        elif name == "resume":
            world.resume(host)
        elif name == "late_writes":
            world.apply_late_writes()
        else:
            host.lease_fault = name

    def deliver_due_orders(self, world):
        """Time orders out at their limit; deliver them a margin later."""
        for host in world.hosts.values():
            cfg = host.state.cfg
            for sent_at, order in list(host.in_transit or ()):
                age_s = world.now - sent_at
                if age_s >= cfg.order_s and order not in self.timed_out:
                    self.timed_out.append(order)
                    world.report_outcome(host, order, worlds.Outcome.UNKNOWN)
                if age_s >= cfg.order_s + cfg.margin_s:
                    host.in_transit.remove((sent_at, order))
                    self.timed_out.remove(order)
                    world.deliver_order(host, order)
