"""How many of a fleet's hosts carry callers."""

import unittest

from bench import hosts
from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from tests.entry import support

PEERS = 60
WINDOW_S = carrying.COUNTED_S


def _fleet():
    """Return a host among many that are nearly as large."""
    driver = support.Driver(
        support.route(), servers=(support.server("s1"),))
    _hear(driver)
    return driver


def _hear(driver, **kwargs):
    for number in range(PEERS):
        driver.feed(events.Heard(
            support.peer(f"host-{number}", capacity=0.9), True, False, 10,
            5, **kwargs))


def _count(driver):
    return len(fleet.carriers(driver.host, driver.now))


def _ask(driver, requests):
    """Have callers send so many requests over the window."""
    for number in range(requests):
        driver.feed(events.Arrived(number, support.request()),
                    WINDOW_S / requests)
    _hear(driver)
    fleet.changed(driver.host)
    driver.feed(events.Ticked())
    fleet.changed(driver.host)


class CarryingTest(unittest.TestCase):
    """As many as callers' requests need, whatever the hosts."""

    def test_a_calm_fleet_of_equal_hosts_has_few(self):
        # 300 equal hosts told each other everything, 12 at a time: each
        # knew a twentieth of what engines had under way.
        self.assertEqual(carrying.CARRIERS_FEW, _count(_fleet()))

    def test_all_hosts_of_a_fleet_agree(self):
        world = hosts.new_world(PEERS, 0)
        world.run(3)
        found = {tuple(peer.name for peer in fleet.carriers(
            host, world.now)) for host in world.hosts.values()}
        self.assertEqual(1, len(found))

    def test_more_carry_where_requests_need_them(self):
        # Twice what the few are to have: twice as many are needed.
        driver = _fleet()
        wanted = 2 * carrying.CARRIERS_FEW
        _ask(driver, int(2 * carrying.REQUESTS_S * WINDOW_S))
        self.assertTrue(driver.host.me.name in {
            peer.name for peer in fleet.carriers(driver.host, driver.now)})
        self.assertAlmostEqual(wanted, _count(driver), delta=2)

    def test_what_a_carrier_found_holds_for_a_while_at_all(self):
        driver = _fleet()
        _hear(driver, wanted=carrying.Wanted(40, 0.0))
        fleet.changed(driver.host)
        self.assertEqual(40, _count(driver))
        _hear(driver, wanted=carrying.Wanted(30, 0.0))
        fleet.changed(driver.host)
        self.assertEqual(40, _count(driver))
        driver.now += carrying.KEPT_S
        _hear(driver)
        fleet.changed(driver.host)
        self.assertEqual(carrying.CARRIERS_FEW, _count(driver))

    def test_hosts_that_pass_a_number_on_do_not_keep_it_for_ever(self):
        # A burst is over; hosts that tell each other its number would
        # have all hosts carry for good.
        pair = [_fleet().host, _fleet().host]
        now = support.NOW
        carrying.hear(pair[0], carrying.Wanted(50, 0.0), now)
        for _ in range(200):
            now += 0.1
            for one, other in (pair, reversed(pair)):
                carrying.hear(other, carrying.told(one, now), now)
        self.assertEqual(carrying.CARRIERS_FEW,
                         carrying.count(pair[0], now))


class LoadsGapTest(unittest.TestCase):
    """What changes at engines is told less often among more carriers."""

    def _told(self, carriers):
        """Return the datagrams of a second with a change each 10 ms."""
        driver = support.Driver(support.stream(), servers=[
            support.server("e1", "engines")])
        for number in range(carriers - 1):
            driver.feed(events.Heard(
                support.peer(f"host-{number}", capacity=0.9), True, False,
                10, 5, wanted=carrying.Wanted(carriers, 0.0)))
        fleet.changed(driver.host)
        told, due = 0, None
        for _ in range(100):
            driver.host.changed.add("e1")
            event = events.LoadHeard("host-0", ())
            if due is not None and driver.now >= due:
                event, due = events.LoadsDue(), None
            out = driver.feed(event, 0.01)
            told += len(support.only(out, effects.Tell))
            for effect in support.only(out, effects.TellLoads):
                due = effect.at
        return told

    def test_many_carriers_tell_of_their_own_work_only(self):
        # Each of 72 hosts passed on what all others said: states of 400
        # rows that each reads forty times a second.
        for carriers, rows in ((13, 2), (14, 1)):
            driver = support.Driver(support.stream(), servers=[
                support.server(f"e{n}", "engines") for n in range(2)])
            for number in range(carriers - 1):
                driver.feed(events.Heard(
                    support.peer(f"host-{number}"), True, False, 10, 5))
            driver.arrive(path="/advice/1", prompt=support.prompt())
            driver.feed(events.LoadHeard("host-0", tuple(
                (f"e{n}", 1, 500, 1, 0, (), 500) for n in range(2))))
            fleet.changed(driver.host)
            (tell, *_) = support.only(
                driver.feed(events.Ticked(), 0.3), effects.Tell)
            self.assertEqual(rows, len(tell.event.loads))

    def test_datagrams_stay_bounded(self):
        # Up to 13 carriers tell all others at once; 72 told twelve others
        # each 30 ms, and read as many: 800 datagrams a second each.
        few, many = self._told(13), self._told(73)
        self.assertGreater(few, 25 * 11)
        self.assertLess(many, few / 4)
