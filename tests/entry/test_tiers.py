"""No tier is refused while a less urgent one begins."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import parts
from tests.entry import support

CHAT = support.stream("chat", priority=0, goal_s=0.3, gap_s=0.25)
DRAFT = support.stream("draft", priority=2, goal_s=2.0, gap_s=1.0)
FULL, BUSY = (support.server(sid, "engines", slots=24)
              for sid in ("full", "busy"))
MEMORY = 230_000


class SpillTest(unittest.TestCase):
    """A request whose shared parts are at an engine without room."""

    def setUp(self):
        self.driver = support.Driver(CHAT, DRAFT, servers=(FULL, BUSY))
        self._tell()

    def _tell(self):
        """Another host has all slots of the one; the other one reads."""
        servers = self.driver.host.servers
        now = self.driver.now
        servers["full"].others.put("h1", 24, 0, 0, now)
        servers["busy"].busy = 0.8
        servers["busy"].loud, servers["busy"].loud_at = 0.3, now

    def _ask(self, route, shared, own):
        """Return the server that a request goes to in the end, or None."""
        prompt = support.prompt(shared=shared, own=own)
        parts.remember(self.driver.host.servers["full"], "shared", shared,
                       MEMORY, self.driver.now)
        out = self.driver.arrive(
            path=f"/{route.name}/1", prompt=prompt, deadline_s=8.0)
        while not self._ends(out):
            self._tell()
            out = self.driver.feed(events.TimerFired(1), 0.05)
        sent = support.only(out, effects.Send)
        return sent[0].server.sid if sent else None

    def _ends(self, out):
        return (support.only(out, effects.Send)
                or support.only(out, effects.Answer))

    def test_short_shared_parts_are_read_again_at_a_busy_engine(self):
        # Chats were refused for want of a slot at the engine with their
        # 170 tokens, while drafts began at engines that read prompts.
        self.assertEqual("busy", self._ask(CHAT, 170, 540))

    def test_long_shared_parts_are_not(self):
        self.assertIsNone(self._ask(DRAFT, 13_000, 3_000))


if __name__ == "__main__":
    unittest.main()
