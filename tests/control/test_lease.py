"""Only the lease holder sends orders, despite pauses and lost calls."""

import unittest

from tests.control import simulation as simulations

Outcome = simulations.Outcome
TAKEOVER_S = 15.0 + 2.0 + 4.0


def simulation_with_holder_x(**kwargs):
    """Return one where x holds the lease and engines have converged."""
    sim = simulations.Simulation(**kwargs)
    sim.run(TAKEOVER_S + 2, "x")
    sim.run(10)
    assert sim.holders() == "x", sim.holders()
    return sim


class LeaseTest(unittest.TestCase):
    """A lease holder and a candidate under faults."""

    def test_lost_lease(self):
        """Two hosts must not roll out different versions concurrently.

        x can't renew its lease but still reaches the engines; y takes
        over when the lease has expired. The failure occurs if x keeps
        sending orders because nothing tells it that it lost the lease.
        """
        sim = simulation_with_holder_x(checks_fence=False)
        sim.hosts["x"].lease_fault = "unavailable"
        for number in range(2, 40):
            sim.set_desired_model("s", f"m:{number}", False)
            sim.run(1)
        self.assertEqual("xy", sim.holders())
        last = max(at for at, host, *_ in sim.delivered if host == "x")
        first = min(at for at, host, *_ in sim.delivered if host == "y")
        self.assertLess(last + sim.hosts["x"].state.cfg.order_s, first)
        self.assertIn("lease_lapsed", sim.record_kinds("x"))
        sim.hosts["x"].lease_fault = "none"
        sim.run(TAKEOVER_S)
        self.assertEqual("y", sim.holders())
        self.assertIn("lease_lost", sim.record_kinds("x"))

    def test_order_decided_before_a_long_pause(self):
        """An engine must not be reverted to an outdated version.

        x decides on an order and is paused before the first byte; y
        takes over and completes its rollout; x resumes where it stopped.
        The failure occurs if the lease is not checked between the
        decision and the sending.
        """
        sim = simulation_with_holder_x(checks_fence=False)
        x = sim.hosts["x"]
        x.held_orders = []
        sim.set_desired_model("s", "m:2", False)
        sim.run(4)
        self.assertEqual(1, len(x.held_orders))
        x.paused = True
        sim.set_desired_model("s", "m:3", False)
        sim.run(90)
        delivered_count = len(sim.delivered)
        x.paused = False
        sim.send_held_orders(x)
        self.assertEqual(delivered_count, len(sim.delivered))
        self.assertEqual(
            {"3"}, {each.version() for each in sim.engines.values()})

    def test_short_pause(self):
        """After a pause no order is sent before the lease is renewed.

        x is paused for less than the lease's duration, so that its lease
        seems unexpired. The failure occurs if a clock jump does not make
        the lease doubtful: the clock may have stood still for part of
        the pause.
        """
        sim = simulation_with_holder_x()
        x = sim.hosts["x"]
        sim.set_desired_model("s", "m:2")
        sim.run(4, "x")
        self.assertEqual(1, len(sim.delivered))
        x.paused = True
        sim.now += 3
        x.lease_fault = "unavailable"
        sim.resume(x)
        sim.run(2, "x")
        self.assertEqual(1, len(sim.delivered))
        self.assertIn("clock_jump", sim.record_kinds("x"))
        x.lease_fault = "none"
        sim.run(5, "x")
        self.assertLess(1, len(sim.delivered))

    def test_lost_answer_of_an_acquisition(self):
        """A lost answer must not stop orders for a whole lease duration.

        The write takes effect but its answer is lost, or it takes effect
        only after a read showed the old version. The failure occurs if
        the holder does not recognize its own nonce.
        """
        for mode in ("lost", "late"):
            with self.subTest(mode=mode):
                sim = simulations.Simulation()
                x = sim.hosts["x"]
                x.lease_fault = mode
                while not x.state.lease.nonce:
                    sim.run(0.5, "x")
                if mode == "late":
                    sim.run(0.5, "x")
                self.assertEqual("", sim.holders())
                sim.apply_late_writes()
                x.lease_fault = "none"
                sim.run(1.5, "x")
                self.assertEqual("x", sim.holders())
                self.assertEqual(1, x.state.lease.fence)
                sim.run(6, "x")
                self.assertEqual(1, x.state.lease.fence)
                self.assertGreater(x.state.lease.version, 1)

    def test_two_candidates(self):
        """Two hosts must not acquire the lease at the same time.

        Both observed the same dead holder and write at the same tick.
        The failure occurs if a write is not conditional on the version
        that was read.
        """
        sim = simulations.Simulation()
        for _ in range(80):
            sim.run(0.5)
            self.assertIn(sim.holders(), ("", "x", "y"))
        first = sim.holders()
        second = "y" if first == "x" else "x"
        self.assertNotEqual("", first)
        fence = sim.hosts[first].state.lease.fence
        sim.hosts[first].paused = True
        sim.run(TAKEOVER_S + 4)
        self.assertTrue(sim.hosts[second].state.lease.holding)
        self.assertGreater(
            sim.hosts[second].state.lease.fence, fence)

    def test_late_order_at_a_checking_engine(self):
        """A former holder must not revert a rollout.

        An order of x is in transit when x is paused; y takes over and
        sends orders; then x's order arrives. The failure occurs if
        orders don't carry the fencing number of their holder's
        acquisition.
        """
        sim = simulation_with_holder_x()
        x = sim.hosts["x"]
        x.in_transit = []
        sim.set_desired_model("s", "m:2")
        sim.run(4)
        (_, order), = x.in_transit
        x.paused = True
        sim.set_desired_model("s", "m:3")
        sim.run(90)
        self.assertEqual("3", sim.engines[order.engine].version())
        outcome = sim.deliver_order(x, order)
        self.assertIs(Outcome.STALE_FENCE, outcome)
        x.paused = False
        sim.report_outcome(x, order, outcome)
        self.assertIn("lease_stepped_down", sim.record_kinds("x"))
        self.assertEqual("y", sim.holders())

    def test_late_order_at_an_engine_that_does_not_check(self):
        """An engine must not end with the former holder's version.

        x aborts an unanswered order, stops and releases its lease; y
        acquires it at once and sends orders; then x's order takes
        effect. The failure occurs if y does not wait until no order of
        x can still arrive.
        """
        sim = simulation_with_holder_x(checks_fence=False)
        x = sim.hosts["x"]
        x.in_transit = []
        sim.set_desired_model("s", "m:2", False)
        sim.run(4)
        (sent_at, order), = x.in_transit
        sim.set_desired_model("s", "m:3", False)
        sim.feed(x, simulations.events.StopAsked())
        sim.run(x.state.cfg.order_s - (sim.now - sent_at))
        sim.report_outcome(x, order, Outcome.UNKNOWN)
        self.assertTrue(x.exited)
        sim.run(5)
        self.assertTrue(sim.hosts["y"].state.lease.holding)
        sim.deliver_order(x, order)
        sim.run(90)
        hosts = [host for host, _ in sim.accepted_orders(order.engine)]
        self.assertEqual(sorted(hosts), hosts)
        self.assertEqual("3", sim.engines[order.engine].version())

    def test_planned_stop(self):
        """A planned stop must not delay a rollout.

        x is asked to stop with one order in flight. It must send no
        more, wait for that one and release the lease, so that y need
        not wait for the whole lease duration. The failure occurs if the
        lease is left to expire.
        """
        sim = simulation_with_holder_x(
            share=0.5, loads_per_s=0.2, load_burst=1.0)
        x = sim.hosts["x"]
        x.in_transit = []
        sim.set_desired_model("s", "m:2")
        sim.run(4)
        (_, order), = x.in_transit
        sim.feed(x, simulations.events.StopAsked())
        sim.run(6)
        self.assertFalse(x.exited)
        self.assertEqual(1, len(x.in_transit))
        sim.report_outcome(x, order, sim.deliver_order(x, order))
        self.assertTrue(x.exited)
        sim.run(x.state.cfg.renew_s + 0.5)
        self.assertTrue(sim.hosts["y"].state.lease.holding)
        self.assertEqual(
            1, sum(host == "x" for _, host, *_ in sim.delivered))
