"""Who may give orders: lost leases, pauses, lost answers, stops."""

import unittest

from tests.control import world as worlds

Outcome = worlds.Outcome
SPAN_S = 15.0 + 2.0 + 4.0


def led_by_x(**kwargs):
    """Return a world in which x holds the lease and all is as wanted."""
    world = worlds.World(**kwargs)
    world.run(SPAN_S + 2, "x")
    world.run(10)
    assert world.holder() == "x", world.holder()
    return world


class LeaseTest(unittest.TestCase):
    """Stories of a holder and a candidate."""

    def test_lost_lease(self):
        """Two hosts roll out different versions over each other.

        x can't renew its lease but reaches the engines; y takes over
        when the lease has expired. Cause: x goes on giving orders
        because nobody told it of its loss.
        """
        world = led_by_x(checks=False)
        world.hosts["x"].fault = "out"
        for number in range(2, 40):
            world.want("s", f"m:{number}", False)
            world.run(1)
        self.assertEqual("xy", world.holder())
        last = max(at for at, host, *_ in world.landed if host == "x")
        first = min(at for at, host, *_ in world.landed if host == "y")
        self.assertLess(last + world.hosts["x"].state.cfg.order_s, first)
        self.assertIn("lease_lapsed", world.kinds("x"))
        world.hosts["x"].fault = "well"
        world.run(SPAN_S)
        self.assertEqual("y", world.holder())
        self.assertIn("lease_lost", world.kinds("x"))

    def test_order_decided_before_a_long_pause(self):
        """An engine is set back to the version of yesterday.

        x decides on an order and is paused before the first byte; y
        takes over and finishes; x wakes and goes on where it stood.
        Cause: nothing looks at the lease between decision and sending.
        """
        world = led_by_x(checks=False)
        x = world.hosts["x"]
        x.unsent = []
        world.want("s", "m:2", False)
        world.run(4)
        self.assertEqual(1, len(x.unsent))
        x.paused = True
        world.want("s", "m:3", False)
        world.run(90)
        done = len(world.landed)
        x.paused = False
        world.send_unsent(x)
        self.assertEqual(done, len(world.landed))
        self.assertEqual(
            {"3"}, {each.version() for each in world.engines.values()})

    def test_short_pause(self):
        """Orders go out on a lease that nobody has looked after.

        x is paused for less than the span and wakes; its lease seems
        unexpired. Cause: no doubt after a jump of the clock, which may
        have stood still for part of the pause.
        """
        world = led_by_x()
        x = world.hosts["x"]
        world.want("s", "m:2")
        world.run(4, "x")
        self.assertEqual(1, len(world.landed))
        x.paused = True
        world.now += 3
        x.fault = "out"
        world.wake(x)
        world.run(2, "x")
        self.assertEqual(1, len(world.landed))
        self.assertIn("clock_jump", world.kinds("x"))
        x.fault = "well"
        world.run(5, "x")
        self.assertLess(1, len(world.landed))

    def test_lost_answer_of_an_acquisition(self):
        """Nobody gives orders for a whole span after each lost answer.

        The write takes effect, its answer is lost; or it takes effect
        only after the read-back showed the old version. Cause: the
        holder does not know its own nonce.
        """
        for mode in ("lost", "late"):
            with self.subTest(mode=mode):
                world = worlds.World()
                x = world.hosts["x"]
                x.fault = mode
                while not x.state.lease.nonce:
                    world.run(0.5, "x")
                if mode == "late":
                    world.run(0.5, "x")
                self.assertEqual("", world.holder())
                world.land_writes()
                x.fault = "well"
                world.run(1.5, "x")
                self.assertEqual("x", world.holder())
                self.assertEqual(1, x.state.lease.fence)
                world.run(6, "x")
                self.assertEqual(1, x.state.lease.fence)
                self.assertGreater(x.state.lease.version, 1)

    def test_two_candidates(self):
        """Two hosts are in charge from the same moment on.

        Both watched the same dead holder and write at the same tick.
        Cause: a write that does not rest on the version it saw.
        """
        world = worlds.World()
        for _ in range(80):
            world.run(0.5)
            self.assertIn(world.holder(), ("", "x", "y"))
        first = world.holder()
        second = "y" if first == "x" else "x"
        self.assertNotEqual("", first)
        fence = world.hosts[first].state.lease.fence
        world.hosts[first].paused = True
        world.run(SPAN_S + 4)
        self.assertTrue(world.hosts[second].state.lease.holding)
        self.assertGreater(
            world.hosts[second].state.lease.fence, fence)

    def test_late_order_at_a_checking_engine(self):
        """A rollout is undone by a host that is no longer in charge.

        An order of x is on its way when x is paused; y takes over and
        orders; then x's order arrives. Cause: an order without the
        number of its holder's own acquisition.
        """
        world = led_by_x()
        x = world.hosts["x"]
        x.transit = []
        world.want("s", "m:2")
        world.run(4)
        (_, order), = x.transit
        x.paused = True
        world.want("s", "m:3")
        world.run(90)
        self.assertEqual("3", world.engines[order.engine].version())
        outcome = world.land(x, order)
        self.assertIs(Outcome.STALE_FENCE, outcome)
        x.paused = False
        world.answer(x, order, outcome)
        self.assertIn("lease_stepped_down", world.kinds("x"))
        self.assertEqual("y", world.holder())

    def test_late_order_at_an_engine_that_does_not_check(self):
        """An engine ends with the old holder's version.

        x gives an order up unanswered, stops and releases its lease;
        y acquires it at once and orders; then x's order takes effect.
        Cause: y did not wait until nothing of x could still arrive.
        """
        world = led_by_x(checks=False)
        x = world.hosts["x"]
        x.transit = []
        world.want("s", "m:2", False)
        world.run(4)
        (sent_at, order), = x.transit
        world.want("s", "m:3", False)
        world.feed(x, worlds.events.StopAsked())
        world.run(x.state.cfg.order_s - (world.now - sent_at))
        world.answer(x, order, Outcome.UNKNOWN)
        self.assertTrue(x.exited)
        world.run(5)
        self.assertTrue(world.hosts["y"].state.lease.holding)
        world.land(x, order)
        world.run(90)
        hosts = [host for host, _ in world.taken(order.engine)]
        self.assertEqual(sorted(hosts), hosts)
        self.assertEqual("3", world.engines[order.engine].version())

    def test_planned_stop(self):
        """Each restart of the active host stops a rollout for a while.

        x is asked to stop with one order on its way. It must give no
        more, wait for that one, and release the lease, so that y need
        not wait for the whole span. Cause: a lease left to expire.
        """
        world = led_by_x(share=0.5, loads_per_s=0.2, load_burst=1.0)
        x = world.hosts["x"]
        x.transit = []
        world.want("s", "m:2")
        world.run(4)
        (_, order), = x.transit
        world.feed(x, worlds.events.StopAsked())
        world.run(6)
        self.assertFalse(x.exited)
        self.assertEqual(1, len(x.transit))
        world.answer(x, order, world.land(x, order))
        self.assertTrue(x.exited)
        world.run(x.state.cfg.renew_s + 0.5)
        self.assertTrue(world.hosts["y"].state.lease.holding)
        self.assertEqual(
            1, sum(host == "x" for _, host, *_ in world.landed))
