"""Tests the choice of an engine for a prompt, and admission control."""

import dataclasses
import unittest

from crocuskeel.core.entry import candidates
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import server_choice
from crocuskeel.core.entry import server_load
from tests.entry import support

ENGINES = tuple(support.server(f"e{n}", "engines") for n in range(4))
TOP = support.stream("top", priority=0, target_s=1.2)
LOW = support.stream("low", priority=2, target_s=2.0)


def _driver(**kwargs):
    return support.Driver(TOP, LOW, servers=ENGINES, **kwargs)


def _choose(driver, prompt, exclude=()):
    pending = support.request_state(TOP, driver.now, prompt=prompt)
    pending.candidates = candidates.pick(driver.host, pending)
    return server_choice.choose(driver.host, pending, set(exclude),
                                driver.now).server.sid


class ChooseTest(unittest.TestCase):
    """The engine with the lowest expected cost is chosen."""

    def test_all_hosts_send_a_new_part_to_the_same_engine(self):
        # Two hosts that don't know of each other yet would have a part of
        # 13,000 tokens prefilled twice, a third of a second each.
        prompt = support.prompt("tide-7")
        chosen = {_choose(_driver(), prompt) for _ in range(5)}
        self.assertEqual(1, len(chosen))

    def test_part_is_sent_to_the_engine_that_caches_it(self):
        driver = _driver()
        prefix_cache.add_part(
            driver.host.servers["e2"], "tide", 13_000, 5e5, 0)
        self.assertEqual("e2", _choose(driver, support.prompt("tide")))

    def test_long_queue_costs_more_than_repeated_prefill(self):
        driver = _driver()
        caching = driver.host.servers["e2"]
        prefix_cache.add_part(caching, "tide", 13_000, 5e5, 0)
        caching.peer_loads.update("host-1", 4, 40_000, 4, driver.now)
        self.assertEqual("e2", _choose(driver, support.prompt("tide")))
        caching.peer_loads.update("host-1", 9, 90_000, 9, driver.now)
        self.assertNotEqual("e2", _choose(driver, support.prompt("tide")))

    def test_old_report_of_a_peer_does_not_count(self):
        driver = _driver()
        state = driver.host.servers["e2"]
        state.peer_loads.update("host-1", 9, 90_000, 9, driver.now - 2)
        self.assertEqual(0, server_load.queued_tokens(state, driver.now))

    def test_draining_servers_never_and_suspect_ones_last(self):
        driver = _driver()
        for sid in ("e0", "e1", "e2"):
            driver.host.servers[sid].suspect_until = driver.now + 1
        self.assertEqual("e3", _choose(driver, support.prompt("tide")))
        driver.feed(events.ServersChanged(
            (support.server("e3", "engines", draining=True),), (), 6))
        self.assertNotEqual("e3", _choose(driver, support.prompt("tide")))

    def test_no_server_gets_more_connections_than_it_accepts(self):
        # Calls to a slow service accumulate on all hosts, until its
        # servers reject connections: those requests are not run and wait
        # there until they time out.
        plain = (support.server("p1"), support.server("p2"))
        driver = support.Driver(support.route(), servers=plain)
        first = driver.host.servers["p1"]
        first.peer_loads.update("host-1", 48, 0, 0, driver.now)
        first.peer_loads.update("host-2", 40, 0, 0, driver.now)
        driver.host.servers["p2"].peer_loads.update("host-1", 80, 0, 0,
                                                    driver.now)
        (sent,) = support.effects_of(driver.arrive(), effects.SendRequest)
        self.assertEqual("p2", sent.server.sid)
        driver.host.servers["p2"].peer_loads.update("host-1", 90, 0, 0,
                                                    driver.now)
        (answer,) = support.effects_of(driver.arrive(key=2), effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertIsNotNone(answer.retry_delay_s)

    def test_parts_beyond_an_engines_memory_are_evicted(self):
        state = _driver().host.servers["e1"]
        for number in range(10):
            prefix_cache.add_part(state, f"p{number}", 10_000, 100_000, 0)
        self.assertEqual(7, len(state.parts))
        self.assertNotIn("p0", state.parts)


class AdmissionTest(unittest.TestCase):
    """Which requests are admitted under load."""

    def _load(self, driver, reading, tokens):
        for state in driver.host.servers.values():
            server_load.note_work(driver.host, state)
            state.peer_loads.update("host-1", reading, tokens, reading,
                                    driver.now)

    def _arrive(self, driver, name, key=1, **kwargs):
        out = driver.feed(events.RequestReceived(key, support.request(
            f"/{name}/1", prompt=support.prompt(own=500),
            **{"deadline_s": 8.0, **kwargs})))
        return support.effects_of(out, effects.SendRequest), out

    def test_less_urgent_rank_is_stopped_first(self):
        # In a burst of long prompts of a low rank engines would accept them
        # all, and an urgent request gets its first token after six seconds.
        driver = _driver()
        self._load(driver, 3, 20_000)
        self.assertEqual(0, len(self._arrive(driver, "low", 1)[0]))
        self.assertEqual(1, len(self._arrive(driver, "top", 2)[0]))

    def test_queued_then_refused_with_a_retry_delay(self):
        driver = _driver()
        self._load(driver, 9, 90_000)
        _, out = self._arrive(driver, "low")
        self.assertEqual([], support.effects_of(out, effects.Answer))
        self.assertEqual(1,
                         len(support.effects_of(out, effects.SetRequestTimer)))
        self._load(driver, 9, 90_000)
        driver.now += 1.01
        self._load(driver, 9, 90_000)
        out = driver.feed(events.TimerFired(1))
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertTrue(0.5 < answer.retry_delay_s <= 8.0 / 3)
        self.assertEqual({}, driver.host.pending)

    def test_queued_until_an_engine_has_capacity(self):
        driver = _driver()
        self._load(driver, 9, 90_000)
        self._arrive(driver, "low")
        self._load(driver, 0, 0)
        out = driver.feed(events.TimerFired(1), 0.1)
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))

    def test_service_removed_while_a_request_is_queued(self):
        # A release removes a service. A request that was queued for its
        # engines raised an error in the host, and its caller got no answer.
        driver = _driver()
        self._load(driver, 9, 90_000)
        self._arrive(driver, "low")
        catalog = driver.host.catalog
        services = {"plain": catalog.services["plain"]}
        driver.feed(events.CatalogRead(dataclasses.replace(
            catalog, revision=11, version=11, services=services)))
        driver.now += 0.1
        self._load(driver, 0, 0)
        out = driver.feed(events.TimerFired(1))
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))

    def test_another_engine_is_used_before_a_refusal(self):
        # The engine that caches a prompt's part prefills a very long prompt
        # for a second. Requests with that part were refused while other
        # engines were idle.
        driver = _driver()
        caching = driver.host.servers["e2"]
        prefix_cache.add_part(caching, "shared", 13_000, 5e5, 0)
        caching.peer_loads.update("host-1", 1, 28_000, 1, driver.now)
        self.assertEqual(0, len(self._arrive(driver, "low")[0]))
        driver.now += 1.01
        caching.peer_loads.update("host-1", 1, 28_000, 1, driver.now)
        out = driver.feed(events.TimerFired(1))
        (sent,) = support.effects_of(out, effects.SendRequest)
        self.assertNotEqual("e2", sent.server.sid)

    def test_suspect_engine_has_no_capacity(self):
        # Eight engines crash under load. The others are full, and a dead
        # engine has an empty queue: 1,321 requests were sent to addresses
        # where nothing listened.
        driver = _driver()
        dead = driver.host.servers["e0"]
        dead.suspect_until = driver.now + 4
        self._load(driver, 9, 90_000)
        dead.peer_loads.update("host-1", 0, 0, 0, driver.now)
        self._arrive(driver, "low")
        driver.now += 1.01
        self._load(driver, 9, 90_000)
        dead.peer_loads.update("host-1", 0, 0, 0, driver.now)
        out = driver.feed(events.TimerFired(1))
        self.assertEqual([], support.effects_of(out, effects.SendRequest))
        self.assertEqual(1, len(support.effects_of(out, effects.Answer)))

    def test_engine_in_continuous_prefill_gets_no_long_prompts(self):
        # During continuous prefill an engine's streams are five times
        # slower: 551 of 3,700 that had begun timed out.
        driver = _driver()
        for state in driver.host.servers.values():
            state.prefill_share = 0.9
        self.assertEqual(0, len(self._arrive(driver, "low", 1)[0]))
        self.assertEqual(1, len(self._arrive(driver, "top", 2)[0]))

    def test_busy_engine_does_not_prefill_shared_parts_again(self):
        # Under load a prompt went to any engine that accepted it: of 32.8
        # million tokens 12.0 million had been prefilled elsewhere before.
        driver = _driver()
        caching = driver.host.servers["e2"]
        prefix_cache.add_part(caching, "shared", 13_000, 5e5, 0)
        for share, sends in ((0.8, 0), (0.6, 1)):
            driver = _driver()
            caching = driver.host.servers["e2"]
            prefix_cache.add_part(caching, "shared", 13_000, 5e5, 0)
            for state in driver.host.servers.values():
                state.prefill_share = share
            caching.peer_loads.update("host-1", 1, 28_000, 1, driver.now)
            self._arrive(driver, "low")
            driver.now += 1.01
            caching.peer_loads.update("host-1", 1, 28_000, 1, driver.now)
            out = driver.feed(events.TimerFired(1))
            self.assertEqual(sends,
                             len(support.effects_of(out, effects.SendRequest)))

    def test_prefill_share_follows_the_load(self):
        driver = _driver()
        for _ in range(20):
            self._load(driver, 2, 9_000)
            driver.feed(events.Ticked(), 0.3)
        state = driver.host.servers["e1"]
        self.assertGreater(state.prefill_share, 0.9)
        for _ in range(20):
            driver.feed(events.Ticked(), 0.3)
        self.assertLess(state.prefill_share, 0.1)

    def test_no_prompt_is_sent_where_memory_would_run_out(self):
        # Long prompts are kept on some of the engines. One that runs out of
        # memory preempts running requests and prefills them again.
        driver = _driver()
        for state in driver.host.servers.values():
            state.peer_loads.update("host-1", 20, 0, 0, driver.now,
                                    memory_tokens=440_000)
        self.assertEqual(0, len(self._arrive(driver, "low", 1)[0]))
        driver.host.servers["e3"].peer_loads.update(
            "host-1", 20, 0, 0, driver.now, memory_tokens=400_000)
        out = driver.feed(events.TimerFired(1), 0.1)
        self.assertEqual(
            ["e3"], [sent.server.sid for sent
                     in support.effects_of(out, effects.SendRequest)])

    def test_reserved_memory_is_released_when_a_request_ends(self):
        driver = _driver()
        (sent,), _ = self._arrive(driver, "top")
        state = driver.host.servers[sent.server.sid]
        self.assertEqual(13_700, state.memory_tokens)
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        driver.feed(events.StreamEnded(1, 0), 0.1)
        self.assertEqual(0, state.memory_tokens)

    def test_callers_retry_has_the_same_limits_as_a_new_request(self):
        # A retry is late already. With higher limits than new requests,
        # retries took all capacity for as long as an overload lasted: each
        # new request was refused, retried, and late as well.
        driver = _driver()
        self._load(driver, 1, 12_000)
        self.assertEqual(0, len(self._arrive(driver, "low", 1)[0]))
        self.assertEqual(0, len(self._arrive(
            driver, "low", 2, deadline_s=5.0)[0]))

    def test_peers_are_told_of_a_send_at_once(self):
        driver = _driver()
        driver.feed(events.PeerStateReceived(
            support.peer(), True, False, 10, 5, reads_store=True))
        _, out = self._arrive(driver, "top")
        told = [effect.event
                for effect in support.effects_of(out, effects.SendToPeer)]
        self.assertEqual([events.PeerLoadsReceived], [type(e) for e in told])
        ((sid, count, tokens, reading, _, gaps, memory),) = told[0].loads
        self.assertEqual((1, 13_500, 1), (count, tokens, reading))
        self.assertEqual(((0, 400, 1),), gaps)
        self.assertEqual(13_700, memory)

    def test_changes_in_quick_succession_are_told_together(self):
        # A busy host changes the load of engines a hundred times a second,
        # and each change was sent to nine hosts in its own message.
        driver = _driver()
        driver.feed(events.PeerStateReceived(
            support.peer(), True, False, 10, 5, reads_store=True))
        self._arrive(driver, "top", 1)
        due, told = [], []
        for key in range(2, 8):
            driver.now += 0.001
            _, out = self._arrive(driver, "top", key)
            due += support.effects_of(out, effects.ScheduleLoadsDue)
            told += support.effects_of(out, effects.SendToPeer)
        self.assertEqual([], told)
        self.assertEqual(1, len(due))
        driver.now = due[0].at
        (tell,) = support.effects_of(driver.feed(events.LoadsDue()),
                                     effects.SendToPeer)
        self.assertEqual(
            {sid for pending in driver.host.pending.values()
             for sid in [pending.attempts[0].sid] if pending.key > 1},
            {row[0] for row in tell.event.loads})
        self.assertEqual([], driver.feed(events.LoadsDue(), 0.1))
