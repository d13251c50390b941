"""Lookups from a refused caller to the ledger, on one whole daemon."""

import random
import unittest

from crocuskeel.core import claims
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import problems
from crocuskeel.core import reducer
from tests.frontend import driver


class OwnerHost(driver.Host):
    """The host that owns the only slot; its components all run."""

    def __init__(self, **cfg):
        super().__init__(max_requests=2)
        self.daemon.claims = claims.new_state(
            "h1", 1, random.Random(7), claims.ClaimsConfig(slots=1, **cfg))

    def feed(self, event):
        out = reducer.reduce(self.daemon, event, self.now)
        self.record(out)
        return out

    def answer_read(self):
        """Answer the latest read of the slot: there is no ledger yet."""
        read = [each for each in self.log if type(each) is effects.StoreGet
                and each.op[0] == claims.COMPONENT][-1]
        self.feed(events.StoreAnswered(
            read.op, events.StoreStatus.NOT_FOUND))


class LookupTest(unittest.TestCase):
    """A caller that resends a booking is refused after a lookup."""

    def test_caller_whose_lookup_arrives_during_a_read_is_answered(self):
        # A caller was told "unknown" after 0.5 s although its booking is
        # not in the ledger: the read ended as an outcome was due that
        # needed no write, and nothing started a read for the lookup.
        host = OwnerHost(max_bytes=0)
        host.grant(host.arrive("book", key="refused"), engine="d1")
        host.answer_read()
        host.advance(0.2)
        host.answer_read()
        for key in ("waiting-1", "waiting-2"):
            host.arrive("book", key=key)
        host.advance(0.75)
        early = host.arrive("book", key="early")
        late = host.arrive("book", key="late")
        host.advance(0.1)
        host.answer_read()
        host.advance(0.2)
        host.answer_read()
        host.advance(1.0)
        answers = {each.rid: each.problem for each in host.log
                   if type(each) is effects.Answer}
        for rid in (early, late):
            self.assertEqual(
                problems.Outcome.NOT_RUN, answers[rid].outcome, answers)


if __name__ == "__main__":
    unittest.main()
