"""Which engine a prompt goes to, and which are let in."""

import dataclasses
import unittest

from crocuskeel.core.entry import candidates
from crocuskeel.core.entry import choosing
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import parts
from crocuskeel.core.entry import serverload
from tests.entry import support

ENGINES = tuple(support.server(f"e{n}", "engines") for n in range(4))
TOP = support.stream("top", priority=0, goal_s=1.2)
LOW = support.stream("low", priority=2, goal_s=2.0)


def _driver(**kwargs):
    return support.Driver(TOP, LOW, servers=ENGINES, **kwargs)


def _choose(driver, prompt, exclude=()):
    asked = support.pending(TOP, driver.now, prompt=prompt)
    asked.candidates = candidates.pick(driver.host, asked)
    return choosing.choose(driver.host, asked, set(exclude),
                           driver.now).server.sid


class ChooseTest(unittest.TestCase):
    """The least expected wait."""

    def test_all_hosts_send_a_new_part_to_the_same_engine(self):
        # Two hosts that don't know of each other yet would have a part
        # of 13,000 tokens read twice, a third of a second each.
        prompt = support.prompt("tide-7")
        found = {_choose(_driver(), prompt) for _ in range(5)}
        self.assertEqual(1, len(found))

    def test_a_part_is_sent_where_it_is_held(self):
        driver = _driver()
        parts.remember(driver.host.servers["e2"], "tide", 13_000, 5e5, 0)
        self.assertEqual("e2", _choose(driver, support.prompt("tide")))

    def test_waiting_too_long_costs_more_than_reading_again(self):
        driver = _driver()
        holder = driver.host.servers["e2"]
        parts.remember(holder, "tide", 13_000, 5e5, 0)
        holder.others.put("host-1", 4, 40_000, 4, driver.now)
        self.assertEqual("e2", _choose(driver, support.prompt("tide")))
        holder.others.put("host-1", 9, 90_000, 9, driver.now)
        self.assertNotEqual("e2", _choose(driver, support.prompt("tide")))

    def test_what_a_host_said_long_ago_does_not_count(self):
        driver = _driver()
        holder = driver.host.servers["e2"]
        holder.others.put("host-1", 9, 90_000, 9, driver.now - 2)
        self.assertEqual(0, serverload.ahead_tokens(holder, driver.now))

    def test_draining_never_and_suspect_last(self):
        driver = _driver()
        for sid in ("e0", "e1", "e2"):
            driver.host.servers[sid].suspect_until = driver.now + 1
        self.assertEqual("e3", _choose(driver, support.prompt("tide")))
        driver.feed(events.ServersChanged(
            (support.server("e3", "engines", draining=True),), (), 6))
        self.assertNotEqual("e3", _choose(driver, support.prompt("tide")))

    def test_no_server_gets_more_connections_than_it_accepts(self):
        # A slow booking desk: calls pile up at all hosts together, until
        # its servers turn connections away that were not run but wait
        # there for their time limit.
        plain = (support.server("p1"), support.server("p2"))
        driver = support.Driver(support.route(), servers=plain)
        first = driver.host.servers["p1"]
        first.others.put("host-1", 48, 0, 0, driver.now)
        first.others.put("host-2", 40, 0, 0, driver.now)
        driver.host.servers["p2"].others.put("host-1", 80, 0, 0, driver.now)
        (sent,) = support.only(driver.arrive(), effects.Send)
        self.assertEqual("p2", sent.server.sid)
        driver.host.servers["p2"].others.put("host-1", 90, 0, 0, driver.now)
        (answer,) = support.only(driver.arrive(key=2), effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertIsNotNone(answer.retry_s)

    def test_parts_are_forgotten_beyond_an_engines_memory(self):
        state = _driver().host.servers["e1"]
        for number in range(10):
            parts.remember(state, f"p{number}", 10_000, 100_000, 0)
        self.assertEqual(7, len(state.parts))
        self.assertNotIn("p0", state.parts)


class AdmitTest(unittest.TestCase):
    """Who is let in under load."""

    def _load(self, driver, reading, tokens):
        for state in driver.host.servers.values():
            serverload.note_work(driver.host, state)
            state.others.put("host-1", reading, tokens, reading, driver.now)

    def _sends(self, driver, name, key=1, **kwargs):
        out = driver.feed(events.Arrived(key, support.request(
            f"/{name}/1", prompt=support.prompt(own=500),
            **{"deadline_s": 8.0, **kwargs})))
        return support.only(out, effects.Send), out

    def test_the_lower_rank_stops_first(self):
        # A burst of long briefings: engines would take them all, and a
        # safety question gets its first token after six seconds.
        driver = _driver()
        self._load(driver, 3, 20_000)
        self.assertEqual(0, len(self._sends(driver, "low", 1)[0]))
        self.assertEqual(1, len(self._sends(driver, "top", 2)[0]))

    def test_held_for_room_then_refused_with_a_time_to_come_back(self):
        driver = _driver()
        self._load(driver, 9, 90_000)
        _, out = self._sends(driver, "low")
        self.assertEqual([], support.only(out, effects.Answer))
        self.assertEqual(1, len(support.only(out, effects.Timer)))
        self._load(driver, 9, 90_000)
        driver.now += 1.01
        self._load(driver, 9, 90_000)
        out = driver.feed(events.TimerFired(1))
        (answer,) = support.only(out, effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertTrue(0.5 < answer.retry_s <= 8.0 / 3)
        self.assertEqual({}, driver.host.pending)

    def test_held_until_there_is_room(self):
        driver = _driver()
        self._load(driver, 9, 90_000)
        self._sends(driver, "low")
        self._load(driver, 0, 0)
        out = driver.feed(events.TimerFired(1), 0.1)
        self.assertEqual(1, len(support.only(out, effects.Send)))

    def test_a_service_that_is_dropped_while_a_request_waits(self):
        # A release day takes a service away. What waited for its engines
        # failed inside the host, and its caller got nothing at all.
        driver = _driver()
        self._load(driver, 9, 90_000)
        self._sends(driver, "low")
        catalog = driver.host.catalog
        services = {"plain": catalog.services["plain"]}
        driver.feed(events.CatalogSeen(dataclasses.replace(
            catalog, revision=11, services=services)))
        driver.now += 0.1
        self._load(driver, 0, 0)
        out = driver.feed(events.TimerFired(1))
        self.assertEqual(1, len(support.only(out, effects.Send)))

    def test_another_engine_with_room_goes_before_a_refusal(self):
        # The engine that holds a prompt's part reads a giant one for a
        # second. Callers of that part were refused beside idle engines.
        driver = _driver()
        holder = driver.host.servers["e2"]
        parts.remember(holder, "shared", 13_000, 5e5, 0)
        holder.others.put("host-1", 1, 28_000, 1, driver.now)
        self.assertEqual(0, len(self._sends(driver, "low")[0]))
        driver.now += 1.01
        holder.others.put("host-1", 1, 28_000, 1, driver.now)
        out = driver.feed(events.TimerFired(1))
        (sent,) = support.only(out, effects.Send)
        self.assertNotEqual("e2", sent.server.sid)

    def test_a_suspect_engine_is_no_room(self):
        # Eight engines crash under load. The others are full, and an
        # engine that is dead has nothing before it: 1,321 requests were
        # sent to hosts where nothing listened.
        driver = _driver()
        dead = driver.host.servers["e0"]
        dead.suspect_until = driver.now + 4
        self._load(driver, 9, 90_000)
        dead.others.put("host-1", 0, 0, 0, driver.now)
        self._sends(driver, "low")
        driver.now += 1.01
        self._load(driver, 9, 90_000)
        dead.others.put("host-1", 0, 0, 0, driver.now)
        out = driver.feed(events.TimerFired(1))
        self.assertEqual([], support.only(out, effects.Send))
        self.assertEqual(1, len(support.only(out, effects.Answer)))

    def test_an_engine_that_always_reads_takes_no_long_prompts(self):
        # While an engine reads without a pause its streams go on five
        # times slower: 551 of 3,700 that had begun ran out of time.
        driver = _driver()
        for state in driver.host.servers.values():
            state.busy = 0.9
        self.assertEqual(0, len(self._sends(driver, "low", 1)[0]))
        self.assertEqual(1, len(self._sends(driver, "top", 2)[0]))

    def test_shared_parts_are_read_again_only_by_an_engine_with_time(self):
        # Under load a prompt went to whichever engine took it; of 32.8
        # million tokens 12.0 million had been read elsewhere before.
        driver = _driver()
        holder = driver.host.servers["e2"]
        parts.remember(holder, "shared", 13_000, 5e5, 0)
        for share, sends in ((0.8, 0), (0.6, 1)):
            driver = _driver()
            holder = driver.host.servers["e2"]
            parts.remember(holder, "shared", 13_000, 5e5, 0)
            for state in driver.host.servers.values():
                state.busy = share
            holder.others.put("host-1", 1, 28_000, 1, driver.now)
            self._sends(driver, "low")
            driver.now += 1.01
            holder.others.put("host-1", 1, 28_000, 1, driver.now)
            out = driver.feed(events.TimerFired(1))
            self.assertEqual(sends, len(support.only(out, effects.Send)))

    def test_how_busy_an_engine_is_follows_what_it_does(self):
        driver = _driver()
        for _ in range(20):
            self._load(driver, 2, 9_000)
            driver.feed(events.Ticked(), 0.3)
        state = driver.host.servers["e1"]
        self.assertGreater(state.busy, 0.9)
        for _ in range(20):
            driver.feed(events.Ticked(), 0.3)
        self.assertLess(state.busy, 0.1)

    def test_no_prompt_goes_where_memory_would_run_out(self):
        # Long prompts are kept on some of the engines. One that runs out
        # of memory puts back what it has begun and reads it again.
        driver = _driver()
        for state in driver.host.servers.values():
            state.others.put("host-1", 20, 0, 0, driver.now,
                             memory=440_000)
        self.assertEqual(0, len(self._sends(driver, "low", 1)[0]))
        driver.host.servers["e3"].others.put(
            "host-1", 20, 0, 0, driver.now, memory=400_000)
        out = driver.feed(events.TimerFired(1), 0.1)
        self.assertEqual(
            ["e3"], [sent.server.sid for sent
                     in support.only(out, effects.Send)])

    def test_what_requests_may_hold_is_given_back_at_their_end(self):
        driver = _driver()
        (sent,), _ = self._sends(driver, "top")
        state = driver.host.servers[sent.server.sid]
        self.assertEqual(13_700, state.memory)
        driver.feed(events.Opened(1, 0, None), 0.1)
        driver.feed(events.Ended(1, 0), 0.1)
        self.assertEqual(0, state.memory)

    def test_one_that_came_back_finds_no_more_room_than_others(self):
        # It is late already. Let in before fresh ones, those that came
        # back took all room for as long as an overload lasted, and each
        # fresh one was refused, came back, and was late as well.
        driver = _driver()
        self._load(driver, 1, 12_000)
        self.assertEqual(0, len(self._sends(driver, "low", 1)[0]))
        self.assertEqual(0, len(self._sends(
            driver, "low", 2, deadline_s=5.0)[0]))

    def test_other_hosts_hear_of_a_send_at_once(self):
        driver = _driver()
        driver.feed(events.Heard(
            support.peer(), True, False, 10, 5, reads_store=True))
        _, out = self._sends(driver, "top")
        told = [effect.event for effect in support.only(out, effects.Tell)]
        self.assertEqual([events.LoadHeard], [type(e) for e in told])
        ((sid, count, tokens, reading, _, gaps, memory),) = told[0].loads
        self.assertEqual((1, 13_500, 1), (count, tokens, reading))
        self.assertEqual(((0, 400, 1),), gaps)
        self.assertEqual(13_700, memory)

    def test_changes_that_follow_closely_are_told_together(self):
        # A busy host changes the load of engines a hundred times a
        # second, and each change went to nine hosts by itself.
        driver = _driver()
        driver.feed(events.Heard(
            support.peer(), True, False, 10, 5, reads_store=True))
        self._sends(driver, "top", 1)
        due, told = [], []
        for key in range(2, 8):
            driver.now += 0.001
            _, out = self._sends(driver, "top", key)
            due += support.only(out, effects.TellLoads)
            told += support.only(out, effects.Tell)
        self.assertEqual([], told)
        self.assertEqual(1, len(due))
        driver.now = due[0].at
        (tell,) = support.only(driver.feed(events.LoadsDue()), effects.Tell)
        self.assertEqual(
            {sid for pending in driver.host.pending.values()
             for sid in [pending.tries[0].sid] if pending.key > 1},
            {row[0] for row in tell.event.loads})
        self.assertEqual([], driver.feed(events.LoadsDue(), 0.1))
