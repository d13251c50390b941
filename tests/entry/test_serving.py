"""The number of serving hosts of a fleet."""

import unittest

from bench import hosts
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import serving
from tests.entry import support

PEERS = 60
WINDOW_S = serving.RATE_WINDOW_S


def _driver():
    """Return a host among many of nearly the same capacity."""
    driver = support.Driver(
        support.route(), servers=(support.server("s1"),))
    _receive_states(driver)
    return driver


def _receive_states(driver, **kwargs):
    for number in range(PEERS):
        driver.feed(events.PeerStateReceived(
            support.peer(f"host-{number}", capacity=0.9), True, False, 10,
            5, **kwargs))


def _count(driver):
    return len(fleet.serving_hosts(driver.host, driver.now))


def _send_requests(driver, requests):
    """Have callers send this many requests, spread over the window."""
    for number in range(requests):
        driver.feed(events.RequestReceived(number, support.request()),
                    WINDOW_S / requests)
    _receive_states(driver)
    fleet.invalidate_serving_hosts(driver.host)
    driver.feed(events.Ticked())
    fleet.invalidate_serving_hosts(driver.host)


class CarryingTest(unittest.TestCase):
    """The number follows callers' requests, not the number of hosts."""

    def test_a_lightly_loaded_fleet_of_equal_hosts_has_few(self):
        # 300 equal hosts all served callers and reported to 12 others at a
        # time: each knew a twentieth of the load of engines.
        self.assertEqual(serving.BASE_SERVING_HOSTS, _count(_driver()))

    def test_all_hosts_of_a_fleet_agree_on_serving_hosts(self):
        world = hosts.new_world(PEERS, 0)
        world.run(3)
        found = {tuple(peer.name for peer in fleet.serving_hosts(
            host, world.now)) for host in world.hosts.values()}
        self.assertEqual(1, len(found))

    def test_more_hosts_serve_when_requests_need_them(self):
        # Twice the target rate of the base number of serving hosts.
        driver = _driver()
        wanted = 2 * serving.BASE_SERVING_HOSTS
        _send_requests(driver, int(2 * serving.TARGET_RATE * WINDOW_S))
        self.assertTrue(driver.host.self_peer.name in {
            peer.name
            for peer in fleet.serving_hosts(driver.host, driver.now)})
        self.assertAlmostEqual(wanted, _count(driver), delta=2)

    def test_a_reported_number_is_valid_for_its_ttl_on_all_hosts(self):
        driver = _driver()
        _receive_states(driver, serving_demand=serving.ServingDemand(40, 0.0))
        fleet.invalidate_serving_hosts(driver.host)
        self.assertEqual(40, _count(driver))
        _receive_states(driver, serving_demand=serving.ServingDemand(30, 0.0))
        fleet.invalidate_serving_hosts(driver.host)
        self.assertEqual(40, _count(driver))
        driver.now += serving.DEMAND_TTL_S
        _receive_states(driver)
        fleet.invalidate_serving_hosts(driver.host)
        self.assertEqual(serving.BASE_SERVING_HOSTS, _count(driver))

    def test_hosts_that_pass_on_a_number_do_not_keep_it_valid(self):
        # After a burst, hosts that sent its number to each other would
        # keep it valid and never reduce the serving hosts.
        pair = [_driver().host, _driver().host]
        now = support.NOW
        serving.merge(pair[0], serving.ServingDemand(50, 0.0), now)
        for _ in range(200):
            now += 0.1
            for one, other in (pair, reversed(pair)):
                serving.merge(other, serving.advertised(one, now), now)
        self.assertEqual(serving.BASE_SERVING_HOSTS,
                         serving.serving_host_limit(pair[0], now))


class LoadUpdateIntervalTest(unittest.TestCase):
    """Load changes are sent less often with more serving hosts."""

    def _count_datagrams(self, serving_count):
        """Return the datagrams in a second with a change every 10 ms."""
        driver = support.Driver(support.stream(), servers=[
            support.server("e1", "engines")])
        for number in range(serving_count - 1):
            driver.feed(events.PeerStateReceived(
                support.peer(f"host-{number}", capacity=0.9), True, False,
                10, 5, serving_demand=serving.ServingDemand(serving_count,
                                                            0.0)))
        fleet.invalidate_serving_hosts(driver.host)
        count, due = 0, None
        for _ in range(100):
            driver.host.changed_loads.add("e1")
            event = events.PeerLoadsReceived("host-0", ())
            if due is not None and driver.now >= due:
                event, due = events.LoadsDue(), None
            out = driver.feed(event, 0.01)
            count += len(support.effects_of(out, effects.SendToPeer))
            for effect in support.effects_of(out, effects.ScheduleLoadsDue):
                due = effect.at
        return count

    def test_many_serving_hosts_report_only_their_own_work(self):
        # Each of 72 hosts passed on the load that all others reported, in
        # states of 400 rows that each host reads forty times a second.
        for serving_count, rows in ((13, 2), (14, 1)):
            driver = support.Driver(support.stream(), servers=[
                support.server(f"e{n}", "engines") for n in range(2)])
            for number in range(serving_count - 1):
                driver.feed(events.PeerStateReceived(
                    support.peer(f"host-{number}"), True, False, 10, 5))
            driver.arrive(path="/advice/1", prompt=support.prompt())
            driver.feed(events.PeerLoadsReceived("host-0", tuple(
                (f"e{n}", 1, 500, 1, 0, (), 500) for n in range(2))))
            fleet.invalidate_serving_hosts(driver.host)
            (tell, *_) = support.effects_of(
                driver.feed(events.Ticked(), 0.3), effects.SendToPeer)
            self.assertEqual(rows, len(tell.event.loads))

    def test_datagrams_stay_bounded(self):
        # Up to 13 serving hosts send to all others at once. 72 hosts sent
        # to twelve others every 30 ms and received as many: 800 datagrams
        # a second each.
        few, many = self._count_datagrams(13), self._count_datagrams(73)
        self.assertGreater(few, 25 * 11)
        self.assertLess(many, few / 4)
