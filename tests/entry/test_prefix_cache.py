"""Tests which engines cache shared prompt parts, and fetches of them."""

import dataclasses
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import prefix_cache
from tests.entry import support

ENGINES = tuple(support.server(
    f"e{n}", "engines", domain=f"perth-{'ab'[n % 2]}") for n in range(4))
ADVICE = support.stream("advice", priority=0, target_s=1.2, gap_s=1.0)
# An engine sends 200,000 tokens a second and prefills some 40,000.
FETCH_TOKEN_S = 5e-6
SHARED = 13_000


def _driver(fetch_token_s=FETCH_TOKEN_S):
    driver = support.Driver(ADVICE, servers=ENGINES)
    catalog = driver.host.catalog
    engines = dataclasses.replace(
        catalog.services["engines"],
        engine=model.EngineSpec(64, 500_000, fetch_token_s))
    services = {**catalog.services, "engines": engines}
    driver.feed(events.CatalogRead(dataclasses.replace(
        catalog, revision=11, version=11, services=services)))
    return driver


def _cache(driver, sid, part="shared", tokens=SHARED):
    prefix_cache.add_part(driver.host.servers[sid], part, tokens, 500_000, 0)


def _busy(driver, *sids):
    for sid in sids:
        driver.host.servers[sid].peer_loads.update(
            "host-1", 2, 20_000, 2, driver.now)


def _send(driver, key=1):
    (sent,) = support.effects_of(driver.feed(events.RequestReceived(
        key, support.request("/advice/1", prompt=support.prompt(own=500),
                             rid=f"r{key}", deadline_s=8.0))),
        effects.SendRequest)
    return sent


class FetchTest(unittest.TestCase):
    """An engine fetches shared parts from one that caches them."""

    def test_idle_engine_gets_the_prompt_and_fetches_its_parts(self):
        # One engine caches a part of 13,000 tokens that many callers share.
        # Their requests waited there for half a second while other engines
        # were idle, or the part was prefilled again in a third of a second.
        driver = _driver()
        _cache(driver, "e1")
        _busy(driver, "e1")
        sent = _send(driver)
        self.assertNotEqual("e1", sent.server.sid)
        self.assertEqual(("host-of-e1", 80), sent.fetch_from)

    def test_request_not_admitted_is_sent_elsewhere_at_once(self):
        # In a burst of long prompts whose parts one engine caches, each was
        # queued for a second and then refused, while 40 of 70 engines worked
        # at half of their prefill speed.
        driver = _driver()
        _cache(driver, "e1", tokens=4 * SHARED)
        driver.host.servers["e1"].peer_loads.update(
            "host-1", 7, 1_000, 7, driver.now)
        (sent,) = support.effects_of(driver.feed(events.RequestReceived(
            1, support.request("/advice/1", prompt=support.prompt(
                shared=4 * SHARED, own=500)))), effects.SendRequest)
        self.assertNotEqual("e1", sent.server.sid)
        self.assertEqual(("host-of-e1", 80), sent.fetch_from)

    def test_engine_that_caches_the_part_fetches_nothing(self):
        driver = _driver()
        _cache(driver, "e1")
        sent = _send(driver)
        self.assertEqual(("e1", None), (sent.server.sid, sent.fetch_from))

    def test_no_fetch_from_engines_that_do_not_support_it(self):
        driver = _driver(fetch_token_s=0.0)
        _cache(driver, "e1")
        _busy(driver, "e1", "e1")
        self.assertIsNone(_send(driver).fetch_from)

    def test_no_fetch_that_is_as_slow_as_prefill(self):
        driver = _driver(fetch_token_s=1 / prefix_cache.PREFILL_TOKENS_PER_S)
        _cache(driver, "e1")
        driver.host.servers["e1"].peer_loads.update(
            "host-1", 9, 90_000, 9, driver.now)
        self.assertIsNone(_send(driver).fetch_from)

    def test_short_parts_are_not_fetched(self):
        # A message to another engine takes as long as their prefill.
        driver = _driver()
        _cache(driver, "e1", tokens=200)
        _busy(driver, "e1")
        (sent,) = support.effects_of(driver.feed(events.RequestReceived(
            1, support.request("/advice/1", prompt=support.prompt(
                shared=200, own=500)))), effects.SendRequest)
        self.assertIsNone(sent.fetch_from)

    def test_no_fetch_from_a_draining_or_suspect_engine(self):
        # An engine that is told to fetch from one that is gone may wait for
        # it until the request times out.
        for condition in ("draining", "suspect"):
            with self.subTest(condition):
                driver = _driver()
                _cache(driver, "e1")
                if condition == "draining":
                    driver.feed(events.ServersChanged((dataclasses.replace(
                        ENGINES[1], draining=True),), (), 6))
                else:
                    driver.host.servers["e1"].suspect_until = driver.now + 1
                self.assertIsNone(_send(driver).fetch_from)

    def test_no_fetch_from_a_restarted_engine(self):
        driver = _driver()
        old = dataclasses.replace(ENGINES[1], started_ms=1)
        driver.feed(events.ServersChanged((old,), (), 6))
        _cache(driver, "e1")
        driver.feed(events.ServersChanged(
            (dataclasses.replace(old, started_ms=2),), (), 7))
        self.assertIsNone(_send(driver).fetch_from)

    def test_part_in_prefill_is_not_fetched(self):
        # Of two prompts with a new part, 10 ms apart, the second was sent to
        # an idle engine that could not fetch the part yet, and the part was
        # prefilled twice, a third of a second each.
        driver = _driver()
        first = _send(driver, 1)
        driver.now += 0.01
        second = _send(driver, 2)
        self.assertEqual(first.server.sid, second.server.sid)
        self.assertIsNone(second.fetch_from)
        # Half a second later its prefill has ended, and it can be fetched.
        driver.now += 0.5
        _busy(driver, first.server.sid)
        third = _send(driver, 3)
        self.assertEqual(first.server.address, third.fetch_from)

    def test_fetches_from_an_engine_in_the_same_failure_domain(self):
        # Fetches between failure domains take longer and are billed.
        for _ in range(8):
            driver = _driver()
            _cache(driver, "e1")
            _cache(driver, "e2")
            _busy(driver, "e1", "e2")
            sent = _send(driver)
            source = {"e0": "e2", "e3": "e1"}[sent.server.sid]
            self.assertEqual((f"host-of-{source}", 80), sent.fetch_from)

    def test_no_fetch_from_an_engine_of_another_version(self):
        # What two versions write doesn't fit together.
        driver = _driver()
        for server in ENGINES:
            driver.feed(events.ServersChanged((dataclasses.replace(
                server, version=f"v{server.sid}"),), (), 7))
        _cache(driver, "e1")
        _busy(driver, "e1")
        self.assertIsNone(_send(driver).fetch_from)

    def test_fetched_tokens_count_by_the_time_of_the_fetch(self):
        driver = _driver()
        _cache(driver, "e1")
        _busy(driver, "e1")
        sent = _send(driver)
        (tokens,) = driver.host.servers[sent.server.sid].own_attempts.values()
        self.assertEqual(
            500 + SHARED * FETCH_TOKEN_S * prefix_cache.PREFILL_TOKENS_PER_S,
            tokens)


class RememberedPartsTest(unittest.TestCase):
    """Guards against requests that fill a host's memory with part names."""

    def test_parts_without_tokens_are_limited_in_number(self):
        driver = _driver()
        for number in range(2 * prefix_cache.MAX_PARTS):
            _cache(driver, "e0", f"part-{number}", number % 2)
        state = driver.host.servers["e0"]
        self.assertEqual(prefix_cache.MAX_PARTS, len(state.parts))
        self.assertIn(f"part-{2 * prefix_cache.MAX_PARTS - 1}", state.parts)
        self.assertEqual(prefix_cache.MAX_PARTS // 2, state.parts_tokens)
