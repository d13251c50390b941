"""Shared parts of prompts: who holds them, and what engines fetch."""

import dataclasses
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import parts
from tests.entry import support

ENGINES = tuple(support.server(
    f"e{n}", "engines", domain=f"perth-{'ab'[n % 2]}") for n in range(4))
ADVICE = support.stream("advice", priority=0, goal_s=1.2, gap_s=1.0)
# An engine sends 200,000 tokens a second and reads some 40,000.
FETCH_TOKEN_S = 5e-6
SHARED = 13_000


def _driver(fetch_token_s=FETCH_TOKEN_S):
    driver = support.Driver(ADVICE, servers=ENGINES)
    catalog = driver.host.catalog
    engines = dataclasses.replace(
        catalog.services["engines"],
        engine=model.Engine(64, 500_000, fetch_token_s))
    services = {**catalog.services, "engines": engines}
    driver.feed(events.CatalogSeen(dataclasses.replace(
        catalog, revision=11, services=services)))
    return driver


def _hold(driver, sid, part="shared", tokens=SHARED):
    parts.remember(driver.host.servers[sid], part, tokens, 500_000, 0)


def _busy(driver, *sids):
    for sid in sids:
        driver.host.servers[sid].others.put(
            "host-1", 2, 20_000, 2, driver.now)


def _send(driver, key=1):
    (sent,) = support.only(driver.feed(events.Arrived(
        key, support.request("/advice/1", prompt=support.prompt(own=500),
                             rid=f"r{key}", deadline_s=8.0))), effects.Send)
    return sent


class FetchTest(unittest.TestCase):
    """An engine gets shared parts of one that holds them."""

    def test_a_prompt_goes_to_the_idle_engine_and_its_parts_follow(self):
        # One engine holds a part of 13,000 tokens that all callers of the
        # morning share. They waited there for half a second beside idle
        # engines, or had the part read again in a third of a second.
        driver = _driver()
        _hold(driver, "e1")
        _busy(driver, "e1")
        sent = _send(driver)
        self.assertNotEqual("e1", sent.server.sid)
        self.assertEqual(("host-of-e1", 80), sent.fetch_from)

    def test_one_that_is_not_let_in_goes_elsewhere_at_once(self):
        # A burst of briefings whose parts one engine holds. They were
        # held there for a second each, and then refused, while 40 of 70
        # engines read at half of their speed.
        driver = _driver()
        _hold(driver, "e1", tokens=4 * SHARED)
        driver.host.servers["e1"].others.put(
            "host-1", 7, 1_000, 7, driver.now)
        (sent,) = support.only(driver.feed(events.Arrived(
            1, support.request("/advice/1", prompt=support.prompt(
                shared=4 * SHARED, own=500)))), effects.Send)
        self.assertNotEqual("e1", sent.server.sid)
        self.assertEqual(("host-of-e1", 80), sent.fetch_from)

    def test_where_the_part_is_held_nothing_is_fetched(self):
        driver = _driver()
        _hold(driver, "e1")
        sent = _send(driver)
        self.assertEqual(("e1", None), (sent.server.sid, sent.fetch_from))

    def test_engines_that_hand_nothing_on_are_not_asked(self):
        driver = _driver(fetch_token_s=0.0)
        _hold(driver, "e1")
        _busy(driver, "e1", "e1")
        self.assertIsNone(_send(driver).fetch_from)

    def test_what_is_sent_as_slowly_as_read_is_read(self):
        driver = _driver(fetch_token_s=1 / parts.READ_TOKENS_S)
        _hold(driver, "e1")
        driver.host.servers["e1"].others.put(
            "host-1", 9, 90_000, 9, driver.now)
        self.assertIsNone(_send(driver).fetch_from)

    def test_short_parts_are_read(self):
        # A message to another engine takes as long as reading them.
        driver = _driver()
        _hold(driver, "e1", tokens=200)
        _busy(driver, "e1")
        (sent,) = support.only(driver.feed(events.Arrived(
            1, support.request("/advice/1", prompt=support.prompt(
                shared=200, own=500)))), effects.Send)
        self.assertIsNone(sent.fetch_from)

    def test_nothing_is_fetched_of_one_that_leaves_or_is_suspect(self):
        # An engine that is told to fetch of one that is gone may wait
        # for it as long as its caller does.
        for harm in ("draining", "suspect"):
            with self.subTest(harm):
                driver = _driver()
                _hold(driver, "e1")
                if harm == "draining":
                    driver.feed(events.ServersChanged((dataclasses.replace(
                        ENGINES[1], draining=True),), (), 6))
                else:
                    driver.host.servers["e1"].suspect_until = driver.now + 1
                self.assertIsNone(_send(driver).fetch_from)

    def test_nothing_is_fetched_of_one_that_started_again(self):
        driver = _driver()
        old = dataclasses.replace(ENGINES[1], born=1)
        driver.feed(events.ServersChanged((old,), (), 6))
        _hold(driver, "e1")
        driver.feed(events.ServersChanged(
            (dataclasses.replace(old, born=2),), (), 7))
        self.assertIsNone(_send(driver).fetch_from)

    def test_a_part_that_is_still_read_is_not_fetched(self):
        # Two callers of a new part, 10 ms apart. The second prompt went to
        # an idle engine that asked the first one in vain, and the part was
        # read twice, a third of a second each.
        driver = _driver()
        first = _send(driver, 1)
        driver.now += 0.01
        second = _send(driver, 2)
        self.assertEqual(first.server.sid, second.server.sid)
        self.assertIsNone(second.fetch_from)
        # Half a second later it is read, and can be had.
        driver.now += 0.5
        _busy(driver, first.server.sid)
        third = _send(driver, 3)
        self.assertEqual(first.server.address, third.fetch_from)

    def test_the_nearest_of_several_holders_is_asked(self):
        # Moves between failure domains take longer and are billed.
        for _ in range(8):
            driver = _driver()
            _hold(driver, "e1")
            _hold(driver, "e2")
            _busy(driver, "e1", "e2")
            sent = _send(driver)
            near = {"e0": "e2", "e3": "e1"}[sent.server.sid]
            self.assertEqual((f"host-of-{near}", 80), sent.fetch_from)

    def test_what_is_fetched_counts_by_the_time_that_it_takes(self):
        driver = _driver()
        _hold(driver, "e1")
        _busy(driver, "e1")
        sent = _send(driver)
        (tokens,) = driver.host.servers[sent.server.sid].mine.values()
        self.assertEqual(500 + SHARED * FETCH_TOKEN_S * parts.READ_TOKENS_S,
                         tokens)
