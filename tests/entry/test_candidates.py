"""Which servers of a large service are looked at."""

import unittest

from crocuskeel.core.entry import candidates
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

MANY = 400
ROUTE = support.stream()


def _driver(count, gone=()):
    return support.Driver(ROUTE, servers=[
        support.server(f"e{number}", "engines") for number in range(count)
        if f"e{number}" not in gone])


def _pick(driver, part="tide"):
    asked = support.pending(ROUTE, driver.now, prompt=support.prompt(part))
    return [state.server.sid for state in candidates.pick(
        driver.host, asked)]


def _home(driver, part="tide"):
    return _pick(driver, part)[:candidates.HOME_MOST]


class CandidatesTest(unittest.TestCase):
    """A few, the same at all hosts, and some drawn."""

    def test_all_of_a_small_service(self):
        self.assertEqual(candidates.LOOKED_AT_MOST, len(_pick(
            _driver(candidates.LOOKED_AT_MOST))))

    def test_a_bounded_number_of_a_large_one(self):
        # A placement that looks at 1,700 engines takes 28 ms: at 30
        # requests a second that is most of a small host's processor.
        found = _pick(_driver(MANY))
        self.assertEqual(len(found), len(set(found)))
        self.assertLessEqual(len(found), candidates.LOOKED_AT_MOST)
        self.assertGreater(len(found), candidates.HOME_MOST)

    def test_requests_without_parts_or_prompt(self):
        driver = _driver(MANY)
        for prompt in (None, model.Prompt((), 0, 80)):
            asked = support.pending(ROUTE, driver.now, prompt=prompt)
            self.assertEqual(candidates.LOOKED_AT_MOST, len(
                candidates.pick(driver.host, asked)))

    def test_all_hosts_send_a_part_to_the_same_servers(self):
        # Hosts that looked at others would each have it read anew.
        self.assertEqual(_home(_driver(MANY)), _home(_driver(MANY)))
        self.assertNotEqual(set(_home(_driver(MANY))),
                            set(_home(_driver(MANY), "wind")))

    def test_one_that_leaves_moves_no_other(self):
        before = _home(_driver(MANY))
        after = _home(_driver(MANY, gone={before[5]}))
        self.assertEqual(set(before) - {before[5]},
                         set(before) & set(after))

    def test_a_hot_part_finds_room_elsewhere(self):
        # One part gets all the traffic: its own servers are full, and
        # requests were refused beside 350 idle ones.
        driver = _driver(MANY)
        home = _home(driver)
        for sid in home:
            driver.host.servers[sid].others.put(
                "host-1", 64, 500_000, 64, driver.now)
        out = driver.arrive(path="/advice/1", prompt=support.prompt("tide"))
        (send,) = support.only(out, effects.Send)
        self.assertNotIn(send.server.sid, home)

    def test_servers_that_come_are_looked_at(self):
        driver = _driver(candidates.LOOKED_AT_MOST)
        _pick(driver)
        servers = tuple(support.server(f"n{number}", "engines")
                        for number in range(MANY))
        driver.feed(events.ServersChanged(servers, (), 6))
        self.assertTrue({sid for sid in _home(driver)
                         if sid.startswith("n")})


class WorkingTest(unittest.TestCase):
    """What an idle host does each tick doesn't grow with the servers."""

    def test_servers_without_work_are_not_looked_at(self):
        # Each of 300 hosts looked at 3,000 idle servers three times a
        # second, and told twelve others of them.
        driver = _driver(MANY)
        self.assertEqual({}, driver.host.working)
        driver.feed(events.LoadHeard(
            "host-1", (("e7", 1, 9_000, 1, 0, (), 9_000),)))
        driver.feed(events.Ticked(), 0.3)
        self.assertEqual(["e7"], list(driver.host.working))
        self.assertGreater(driver.host.servers["e7"].busy, 0)
        for _ in range(40):
            driver.feed(events.Ticked(), 0.3)
        self.assertEqual({}, driver.host.working)
        self.assertEqual(0, driver.host.servers["e7"].busy)

    def test_a_server_that_left_with_work_is_forgotten(self):
        driver = _driver(3)
        driver.feed(events.LoadHeard(
            "host-1", (("e1", 1, 9_000, 1, 0, (), 9_000),)))
        driver.feed(events.ServersChanged((), ("e1",), 6))
        driver.feed(events.Ticked(), 0.3)
        self.assertEqual({}, driver.host.working)
