"""No tier is refused while a less urgent one begins."""

import dataclasses
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import parts
from tests.entry import support

CHAT = support.stream("chat", priority=0, goal_s=0.3, gap_s=0.25)
DRAFT = support.stream("draft", priority=2, goal_s=2.0, gap_s=1.0)
CHAT_PROMPT = model.Prompt((("chats", 170), ("own", 540)), 710, 200)
DRAFT_PROMPT = model.Prompt((("drafts", 6_300), ("own", 2_900)), 9_200, 100)
LONG_PROMPT = model.Prompt((("long", 13_000), ("own", 3_000)), 16_000, 100)
FULL, BUSY = (support.server(sid, "engines", slots=24)
              for sid in ("full", "busy"))
MEMORY = 230_000
FETCH_TOKEN_S = 5e-6
SECONDS = 10
A_SECOND = 10
# Of a class, so much may be refused in 5 s while larger requests of a less
# urgent one begin.
REFUSED_MOST = 1 / 12
WINDOW = 5 * A_SECOND


class RefusedTest(unittest.TestCase):
    """Short prompts whose parts are at an engine without a free slot."""

    def setUp(self):
        self._begin(FETCH_TOKEN_S)

    def _begin(self, fetch_token_s):
        self.driver = support.Driver(servers=(FULL, BUSY))
        catalog = support.catalog(CHAT, DRAFT)
        engines = model.Service("engines", 360, model.Engine(
            24, MEMORY, fetch_token_s))
        self.driver.feed(events.CatalogSeen(dataclasses.replace(
            catalog, services={"engines": engines})))
        self.key = 0
        self.waiting = {}
        self.served = {CHAT.name: [], DRAFT.name: []}

    def _tell(self):
        """Another host has all slots of the one; the other one reads."""
        host, now = self.driver.host, self.driver.now
        host.servers["full"].others.put("h1", 24, 0, 0, now)
        for prompt in (CHAT_PROMPT, DRAFT_PROMPT, LONG_PROMPT):
            part, tokens = prompt.parts[0]
            parts.remember(host.servers["full"], part, tokens, MEMORY, now)
            host.servers["busy"].parts.clear()
        busy = host.servers["busy"]
        busy.busy, busy.loud, busy.loud_at = 0.8, 0.3, now

    def _ask(self, route, prompt):
        self.key += 1
        self.waiting[self.key] = route.name
        self._take(self.key, self.driver.arrive(
            self.key, path=f"/{route.name}/1", prompt=prompt,
            rid=f"r{self.key}", deadline_s=route.timeout_s))

    def _take(self, key, out):
        """Note how a request ends; an engine is done with it at once."""
        sent = support.only(out, effects.Send)
        if not sent and not support.only(out, effects.Answer):
            return
        self.served[self.waiting.pop(key)].append(bool(sent))
        if sent:
            self.driver.feed(events.Opened(key, 0, None))
            self.driver.feed(events.Ended(key, 0))

    def _play(self, *kinds):
        for _ in range(SECONDS * A_SECOND):
            self._tell()
            for route, prompt in kinds:
                self._ask(route, prompt)
            self.driver.now += 1 / A_SECOND
            for key in list(self.waiting):
                self._take(key, self.driver.feed(events.TimerFired(key)))

    def test_the_urgent_are_not_refused_where_larger_requests_begin(self):
        # Chats found no free slot where their parts are, and an engine that
        # reads much took drafts, whose parts it can fetch, and no chats.
        self._play((CHAT, CHAT_PROMPT), (DRAFT, DRAFT_PROMPT))
        chats = self.served[CHAT.name][-WINDOW:]
        if any(self.served[DRAFT.name][-WINDOW:]):
            self.assertLessEqual(
                chats.count(False) / len(chats), REFUSED_MOST)

    def test_long_shared_parts_are_not_read_again_at_a_busy_engine(self):
        # Nothing can be fetched: it would displace three other requests.
        self._begin(0.0)
        self._play((DRAFT, LONG_PROMPT))
        self.assertNotIn(True, self.served[DRAFT.name])


if __name__ == "__main__":
    unittest.main()
