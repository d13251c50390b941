"""Tests that no class is refused while a less urgent one is served."""

import dataclasses
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import prefix_cache
from tests.entry import support

CHAT = support.stream("chat", priority=0, target_s=0.3, gap_s=0.25)
DRAFT = support.stream("draft", priority=2, target_s=2.0, gap_s=1.0)
CHAT_PROMPT = model.Prompt((("chats", 170), ("own", 540)), 710, 200)
DRAFT_PROMPT = model.Prompt((("drafts", 6_300), ("own", 2_900)), 9_200, 100)
LONG_PROMPT = model.Prompt((("long", 13_000), ("own", 3_000)), 16_000, 100)
FULL, BUSY = (support.server(sid, "engines", slots=24)
              for sid in ("full", "busy"))
MEMORY = 230_000
FETCH_TOKEN_S = 5e-6
SECONDS = 10
REQUESTS_PER_S = 10
# Greatest share of a class that may be refused in 5 s while larger requests
# of a less urgent class begin.
MAX_REFUSED_SHARE = 1 / 12
WINDOW = 5 * REQUESTS_PER_S


class RefusedTest(unittest.TestCase):
    """Short prompts whose parts are cached by an engine without free slots."""

    def setUp(self):
        self._set_up(FETCH_TOKEN_S)

    def _set_up(self, fetch_token_s):
        self.driver = support.Driver(servers=(FULL, BUSY))
        catalog = support.catalog(CHAT, DRAFT)
        engines = model.Service("engines", 360, model.EngineSpec(
            24, MEMORY, fetch_token_s))
        self.driver.feed(events.CatalogRead(dataclasses.replace(
            catalog, services={"engines": engines})))
        self.key = 0
        self.waiting = {}
        self.served = {CHAT.name: [], DRAFT.name: []}

    def _report_loads(self):
        """A peer uses all slots of one engine; the other is in prefill."""
        host, now = self.driver.host, self.driver.now
        host.servers["full"].peer_loads.update("h1", 24, 0, 0, now)
        for prompt in (CHAT_PROMPT, DRAFT_PROMPT, LONG_PROMPT):
            part, tokens = prompt.parts[0]
            prefix_cache.add_part(
                host.servers["full"], part, tokens, MEMORY, now)
            host.servers["busy"].parts.clear()
        busy = host.servers["busy"]
        busy.prefill_share, busy.expected_pause_s, busy.expected_pause_at = (
            0.8, 0.3, now)

    def _arrive(self, route, prompt):
        self.key += 1
        self.waiting[self.key] = route.name
        self._record(self.key, self.driver.arrive(
            self.key, path=f"/{route.name}/1", prompt=prompt,
            rid=f"r{self.key}", deadline_s=route.timeout_s))

    def _record(self, key, out):
        """Record how a request ends; engines serve requests at once."""
        sent = support.effects_of(out, effects.SendRequest)
        if not sent and not support.effects_of(out, effects.Answer):
            return
        self.served[self.waiting.pop(key)].append(bool(sent))
        if sent:
            self.driver.feed(events.StreamOpened(key, 0, None))
            self.driver.feed(events.StreamEnded(key, 0))

    def _run(self, *kinds):
        for _ in range(SECONDS * REQUESTS_PER_S):
            self._report_loads()
            for route, prompt in kinds:
                self._arrive(route, prompt)
            self.driver.now += 1 / REQUESTS_PER_S
            for key in list(self.waiting):
                self._record(key, self.driver.feed(events.TimerFired(key)))

    def test_the_urgent_are_not_refused_where_larger_requests_begin(self):
        # Chats found no free slot at the engine that caches their parts. The
        # engine that is busy with prefill was given drafts, whose parts it
        # can fetch, but no chats.
        self._run((CHAT, CHAT_PROMPT), (DRAFT, DRAFT_PROMPT))
        chats = self.served[CHAT.name][-WINDOW:]
        if any(self.served[DRAFT.name][-WINDOW:]):
            self.assertLessEqual(
                chats.count(False) / len(chats), MAX_REFUSED_SHARE)

    def test_busy_engine_does_not_prefill_long_shared_parts_again(self):
        # Nothing can be fetched, and the prefill would displace three other
        # requests.
        self._set_up(0.0)
        self._run((DRAFT, LONG_PROMPT))
        self.assertNotIn(True, self.served[DRAFT.name])


if __name__ == "__main__":
    unittest.main()
