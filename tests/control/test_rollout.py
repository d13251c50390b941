"""Which orders are sent, when and at what rate."""

import unittest

import hypothesis
from hypothesis import strategies as st

from crocuskeel.core import control
from crocuskeel.core.control import events
from tests.control import simulation as simulations
from tests.control import test_lease

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
        sim = test_lease.simulation_with_holder_x()
        x = sim.hosts["x"]
        x.held_orders = []
        sim.set_desired_model("s", "m:2")
        sim.run(4, "x")
        self.assertEqual(1, len(x.held_orders))
        first, services = sim.generation, sim.services
        sim.set_desired_model("s", "m:3")
        sim.feed(x, events.SettingsChecked(
            True, sim.generation, {"services": sim.services}))
        sim.feed(x, events.SettingsChecked(
            True, first, {"services": services}))
        sim.send_held_orders(x)
        self.assertEqual([], sim.delivered)
        sim.run(60, "x")
        self.assertEqual(
            {"3"}, {order.item.version for _, _, order, *_ in sim.delivered})

    def test_state_reverted_by_another_party(self):
        """An engine must not keep a wrong version forever.

        The holder's order was executed; later another party's order or
        a manual change reverts the version. The failure occurs if the
        order that repairs it has the same id as the first, so that the
        engine treats it as a duplicate.
        """
        sim = test_lease.simulation_with_holder_x(checks_fence=False)
        sim.set_desired_model("s", "m:2", False)
        sim.run(60, "x")
        engine = sim.engines["e0"]
        self.assertEqual("2", engine.version())
        engine.models["m"] = ("1", 0.0)
        sim.run(60, "x")
        self.assertEqual("2", engine.version())

    def test_failing_loads_pause_only_their_rollout(self):
        """A broken version must not take out one engine after the other.

        Loads of one service's new version are refused. Its rollout must
        pause and record this, another service's must continue, and a
        newer version must be tried. The failure occurs if failures are
        not counted.
        """
        sim = test_lease.simulation_with_holder_x()
        for number in range(4):
            sim.add_engine(f"t{number}", "t", "a", True)
            sim.engines[f"e{number}"].refuses_orders = True
        sim.set_desired_model("s", "m:2")
        sim.set_desired_model("t", "m:2")
        sim.run(240, "x")
        self.assertIn("rollout_paused", sim.record_kinds("x"))
        refused = [order for *_, order, outcome, _ in sim.delivered
                   if outcome is simulations.Outcome.REFUSED]
        self.assertEqual(3, len(refused))
        versions = {name: engine.version()
                    for name, engine in sim.engines.items()}
        self.assertEqual({"2"}, {versions[f"t{n}"] for n in range(4)})
        for engine in sim.engines.values():
            engine.refuses_orders = False
        sim.set_desired_model("s", "m:3")
        sim.run(240, "x")
        self.assertIn("rollout_resumed", sim.record_kinds("x"))
        self.assertEqual("3", sim.engines["e0"].version())

    def test_weight_store_rate_over_a_takeover(self):
        """A takeover must not exceed the weight store's rate limit.

        x spends the whole burst and stops; y acquires the lease at
        once. The failure occurs if y starts with a full bucket; the
        weight store then throttles every load.
        """
        sim = test_lease.simulation_with_holder_x(
            count=24, share=1.0, domain_share=1.0)
        sim.set_desired_model("s", "m:2")
        sim.run(2.5)
        sim.feed(sim.hosts["x"], events.StopAsked())
        sim.run(30)
        self.assertTrue(sim.hosts["y"].state.lease.holding)
        times = [at for at, *_ in sim.delivered]
        self.assertGreater(len(times), 10)
        cfg = sim.hosts["x"].state.cfg
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
        sim = test_lease.simulation_with_holder_x(
            count=12, share=share, domain_share=0.5, max_failures=100,
            load_burst=12.0, loads_per_s=5.0)
        sim.set_desired_model("s", "m:2")
        for wait_s, fault, number in faults:
            self.run_and_check(sim, wait_s, share)
            engine = sim.engines[f"e{number}"]
            if fault == "crash":
                engine.crash(sim.now)
            elif fault == "hang":
                engine.crash(sim.now, 20.0)
            else:
                engine.refuses_orders = not engine.refuses_orders
        self.run_and_check(sim, 10, share)

    def run_and_check(self, sim, span_s, share):
        """Advance the time and check each order to a serving engine."""
        for _ in range(span_s * 2):
            before = len(sim.delivered)
            lost = {engine.name for engine in sim.engines.values()
                    if engine.unavailable_since is not None
                    and (sim.now - engine.unavailable_since
                         > MAX_OBSERVATION_AGE_S)}
            sim.run(0.5, "x")
            ordered = {order.engine
                       for _, _, order, _, served in sim.delivered[before:]
                       if served}
            if not ordered:
                continue
            unavailable = {
                engine.name for engine in sim.engines.values()
                if not engine.serves(sim.now)
                and (engine.name in lost or engine.version() == "2")}
            self.assertLessEqual(
                len(unavailable | lost), max(1, int(share * 12)),
                sim.delivered)
            for domain in {sim.engines[name].domain for name in ordered}:
                in_domain = [name for name in unavailable | lost
                             if sim.engines[name].domain == domain]
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
        sim = simulations.Simulation(
            count=3, checks_fence=False, clock_rates=clock_rates, share=1.0,
            span_s=6.0, margin_s=1.0, renew_s=1.5, order_s=5.0,
            loads_per_s=10.0, observe_s=1.0, max_failures=1000)
        sim.run(12)
        self.timed_out = []
        for host in sim.hosts.values():
            host.in_transit = [] if delayed else None
        for name, value in steps:
            self.apply_step(sim, name, value)
            for engine in sim.engines:
                fences = [fence for _, fence in sim.accepted_orders(engine)]
                self.assertEqual(sorted(fences), fences)

    def apply_step(self, sim, name, value):
        """Apply one step; orders in transit arrive at their time limit."""
        host = sim.hosts.get(value)
        if name == "run":
            for _ in range(value):
                sim.set_desired_model("s", f"m:{sim.generation + 1}", False)
                sim.run(0.5)
                sim.run(0.5)
                self.deliver_due_orders(sim)
        elif name == "pause":
            host.paused = True
        elif name == "resume":
            sim.resume(host)
        elif name == "late_writes":
            sim.apply_late_writes()
        else:
            host.lease_fault = name

    def deliver_due_orders(self, sim):
        """Time orders out at their limit; deliver them a margin later."""
        for host in sim.hosts.values():
            cfg = host.state.cfg
            for sent_at, order in list(host.in_transit or ()):
                age_s = sim.now - sent_at
                if age_s >= cfg.order_s and order not in self.timed_out:
                    self.timed_out.append(order)
                    sim.report_outcome(
                        host, order, simulations.Outcome.UNKNOWN)
                if age_s >= cfg.order_s + cfg.margin_s:
                    host.in_transit.remove((sent_at, order))
                    self.timed_out.remove(order)
                    sim.deliver_order(host, order)
