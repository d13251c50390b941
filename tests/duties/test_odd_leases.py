"""Odd lease objects, as another writer may leave them."""

import json
import unittest

from crocuskeel.core.duties import model
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel.core.leadership import events as lease_events
from crocuskeel import decoding
from crocuskeel.gateway import gossip
from crocuskeel.platform import duties as platform_duties
from tests.entry import support
from tests import odd_forms

Status = lease_events.Status
RECORD = {"done": 3, "decided": {"4": {"hire": 2}},
          "asked": [["scale", "engines", "a", False, 2]],
          "tables": [["h1", 7, [[5, {"hire": 1}]]]]}
LEASE = {"holder": "h1", "nonce": "n", "renewals": 4, "span_s": 15.0,
         "order_s": 15.0, "record": RECORD, "era": 0}
TICK_S = 0.3
ENOUGH_WRITES = 4


class _Host(support.Driver):
    """A host whose store holds an odd lease."""

    def __init__(self, text):
        self.spec = decoding.loads(text.encode())
        self.version = 7
        self.writes = 0
        super().__init__(support.route(), servers=[support.server("i-1")],
                         duties=frozenset({"usage"}))
        self.feed(events.PeersListed((support.peer("h2"),)))

    def run(self, span_s):
        """Run until the lease is written, ``span_s`` at the most."""
        for number in range(round(span_s / TICK_S)):
            out = self.feed(events.Ticked(1e9 + number * TICK_S), TICK_S)
            self._carry_out(out)
            if self.writes > ENOUGH_WRITES:
                break
        return self.writes

    def _carry_out(self, out):
        for effect in out:
            match effect:
                case effects.SendToPeer():
                    gossip.decode(gossip.encode(effect.event))
                case effects.LogEvent():
                    json.dumps(effect.fields).encode()
                case lease_effects.ReadLease():
                    self._carry_out(self.feed(platform_duties._lease_event(
                        self.version, {"Spec": self.spec})))
                case lease_effects.WriteLease():
                    # A store takes nothing but JSON.
                    self.spec = json.loads(effect.body, parse_constant=_fail)
                    self.version += 1
                    self.writes += 1
                    self._carry_out(self.feed(lease_events.LeaseWritten(
                        effect.nonce, effect.number, Status.WRITTEN,
                        self.version)))
                case effects.SendDuty():
                    self._carry_out(self.feed(events.DutyAnswered(
                        effect.call, model.Outcome.DONE, "")))


def _fail(name):
    raise ValueError(f"{name} is not JSON")


class OddLeaseTest(unittest.TestCase):
    """Guards against an odd lease for which nobody does the duties."""

    def test_duties_are_taken_over(self):
        forms = [text for form in odd_forms.BRIEF
                 for text in odd_forms.replaced(LEASE, form)]
        failed = {}
        for text in forms:
            try:
                if _Host(text).run(90.0) <= ENOUGH_WRITES:
                    failed[text[:150]] = "not taken over"
            except Exception as exc:
                failed[text[:150]] = repr(exc)[:150]
        self.assertEqual({}, failed)
