"""Tests which servers of a large service are candidates."""

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
    pending = support.request_state(ROUTE, driver.now,
                                    prompt=support.prompt(part))
    return [state.server.sid for state in candidates.pick(
        driver.host, pending)]


def _preferred(driver, part="tide"):
    return _pick(driver, part)[:candidates.MAX_PREFERRED]


class CandidatesTest(unittest.TestCase):
    """Servers that hashing prefers, and a random sample."""

    def test_small_service_is_evaluated_whole(self):
        self.assertEqual(candidates.MAX_CANDIDATES, len(_pick(
            _driver(candidates.MAX_CANDIDATES))))

    def test_large_service_is_evaluated_in_part(self):
        # Evaluating 1,700 engines takes 28 ms: at 30 requests a second
        # that is most of a small host's processor time.
        picked = _pick(_driver(MANY))
        self.assertEqual(len(picked), len(set(picked)))
        self.assertLessEqual(len(picked), candidates.MAX_CANDIDATES)
        self.assertGreater(len(picked), candidates.MAX_PREFERRED)

    def test_request_without_parts_or_prompt(self):
        driver = _driver(MANY)
        for prompt in (None, model.Prompt((), 0, 80)):
            pending = support.request_state(ROUTE, driver.now, prompt=prompt)
            self.assertEqual(candidates.MAX_CANDIDATES, len(
                candidates.pick(driver.host, pending)))

    def test_all_hosts_prefer_the_same_servers_for_a_part(self):
        # Hosts that preferred different ones would each have the part
        # prefilled again.
        self.assertEqual(_preferred(_driver(MANY)), _preferred(_driver(MANY)))
        self.assertNotEqual(set(_preferred(_driver(MANY))),
                            set(_preferred(_driver(MANY), "wind")))

    def test_removing_a_server_moves_no_other(self):
        before = _preferred(_driver(MANY))
        after = _preferred(_driver(MANY, gone={before[5]}))
        self.assertEqual(set(before) - {before[5]},
                         set(before) & set(after))

    def test_hot_part_is_sent_to_other_servers(self):
        # One part gets all the traffic: its preferred servers are full, and
        # requests were refused while 350 others were idle.
        driver = _driver(MANY)
        preferred = _preferred(driver)
        for sid in preferred:
            driver.host.servers[sid].peer_loads.update(
                "host-1", 64, 500_000, 64, driver.now)
        out = driver.arrive(path="/advice/1", prompt=support.prompt("tide"))
        (send,) = support.effects_of(out, effects.SendRequest)
        self.assertNotIn(send.server.sid, preferred)

    def test_added_servers_become_candidates(self):
        driver = _driver(candidates.MAX_CANDIDATES)
        _pick(driver)
        servers = tuple(support.server(f"n{number}", "engines")
                        for number in range(MANY))
        driver.feed(events.ServersChanged(servers, (), 6))
        self.assertTrue({sid for sid in _preferred(driver)
                         if sid.startswith("n")})


class WorkingTest(unittest.TestCase):
    """The work of an idle host per tick doesn't grow with the servers."""

    def test_servers_without_work_are_not_sampled(self):
        # Each of 300 hosts processed 3,000 idle servers three times a
        # second, and reported them to twelve peers.
        driver = _driver(MANY)
        self.assertEqual({}, driver.host.active_servers)
        driver.feed(events.PeerLoadsReceived(
            "host-1", (("e7", 1, 9_000, 1, 0, (), 9_000),)))
        driver.feed(events.Ticked(), 0.3)
        self.assertEqual(["e7"], list(driver.host.active_servers))
        self.assertGreater(driver.host.servers["e7"].prefill_share, 0)
        for _ in range(40):
            driver.feed(events.Ticked(), 0.3)
        self.assertEqual({}, driver.host.active_servers)
        self.assertEqual(0, driver.host.servers["e7"].prefill_share)

    def test_server_removed_with_work_is_forgotten(self):
        driver = _driver(3)
        driver.feed(events.PeerLoadsReceived(
            "host-1", (("e1", 1, 9_000, 1, 0, (), 9_000),)))
        driver.feed(events.ServersChanged((), ("e1",), 6))
        driver.feed(events.Ticked(), 0.3)
        self.assertEqual({}, driver.host.active_servers)
