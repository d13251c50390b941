"""HTTP calls of duties: lease, usage reports, engine orders."""

import json
import unittest
from unittest import mock

from crocuskeel.core import duties as core_duties
from crocuskeel.core.duties import model
from crocuskeel.core.entry import effects
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel.core.leadership import events as lease_events
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.platform import boot as boot_settings
from crocuskeel.platform import catalogs
from crocuskeel.platform import duties
from crocuskeel.platform import store as stores
from tests.platform import test_boot
from twisted.internet import defer
from twisted.internet import task

Status = lease_events.Status
DUTY_SETTINGS = """Cloud.Addr=10.200.0.9:8424
Cloud.Duties=usage,scale
Bounds.LeaseMs=3000
Bounds.ReportWindowS=5
Bounds.UsageLagS=10
"""
REPORT = core_duties.Report(7, (("hire", 3), ("tours", 4)))
ORDER = core_duties.Order("engines", "perth-a", True, 6)


class _Gateway:
    def __init__(self):
        self.events = []
        self.lines = []

    def feed(self, event):
        self.events.append(event)

    def log(self, event, fields):
        self.lines.append((event, fields))


class DutiesTest(unittest.TestCase):
    """Requests of effects, and the events from their answers."""

    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.gateway = _Gateway()
        self.boot = boot_settings.parse_boot_settings(
            test_boot.VALID + DUTY_SETTINGS)
        store = stores.new_store(self.clock, self.boot.store)
        self.duties = duties.new_duty_executor(
            self.clock, self.gateway, store, self.boot)
        self.requests = []

    def _perform(self, effect, reply):
        """Carry out an effect; return the resulting event."""
        def call(reactor, address, method, target, timeout_s, body=b"",
                 headers=(), until=None):
            self.requests.append((address, method, target, timeout_s,
                                  json.loads(body or b"null"),
                                  tuple(headers), until))
            if isinstance(reply, Exception):
                return defer.fail(reply)
            status, found = reply
            return defer.succeed(calls.Reply(
                status, json.dumps(found).encode()))

        with mock.patch.object(calls, "call", call):
            self.duties(effect)
        self.assertEqual([], [line for line in self.gateway.lines
                              if line[0] == "duty_died"])
        return self.gateway.events.pop()

    def test_unexpected_error_ends_the_call(self):
        # The host waited for the call for ever: it renewed its lease no
        # more, took no other, and repeated no report or order.
        write = lease_effects.WriteLease("n", 4, b"{}", 7)
        crash = mock.patch.object(
            calls, "call", lambda *_, **__: defer.fail(RuntimeError("bug")))
        with crash:
            for effect in (lease_effects.ReadLease(), write,
                           effects.SendDuty(REPORT, 12, 100.6)):
                self.duties(effect)
        self.assertEqual(["duty_died"] * 3,
                         [name for name, _ in self.gateway.lines])
        read, written, answered = self.gateway.events
        self.assertEqual(lease_events.LeaseRead(Status.UNAVAILABLE), read)
        self.assertEqual(
            lease_events.LeaseWritten("n", 4, Status.UNKNOWN, 0), written)
        self.assertEqual(
            (REPORT, model.Outcome.FAILED),
            (answered.call, answered.outcome))

    def test_duties_come_from_the_settings(self):
        self.assertEqual({"usage", "scale"}, self.boot.settings.duties)
        self.assertEqual(3.0, self.boot.settings.lease_s)
        self.assertEqual(("10.200.0.9", 8424), self.boot.cloud)
        without_duties = boot_settings.parse_boot_settings(test_boot.VALID)
        self.assertEqual((frozenset(), None),
                         (without_duties.settings.duties,
                          without_duties.cloud))

    def test_report_and_order_requests(self):
        rows = (
            (REPORT, b"/usage",
             {"Window": 7, "Counts": {"hire": 3, "tours": 4}}),
            (ORDER, b"/scale", {"Service": "engines", "Zone": "perth-a",
                                "Desired": 6, "Spot": True}),
            (core_duties.Order("engines", "b", False, 0), b"/scale",
             {"Service": "engines", "Zone": "b", "Desired": 0}),
        )
        for call, path, body in rows:
            with self.subTest(path=path):
                event = self._perform(effects.SendDuty(call, 12, 100.6),
                                      (200, None))
                address, method, target, timeout_s, sent, headers, until = (
                    self.requests.pop())
                self.assertEqual((self.boot.cloud, b"POST", path, body),
                                 (address, method, target, sent))
                self.assertIn(
                    (b"X-Crocuskeel-Fence-Token", b"12"), headers)
                self.assertIn(
                    (b"X-Crocuskeel-Duty-Holder", b"front-a-1"), headers)
                # The call expires with the lease, 0.6 s from now.
                self.assertEqual(100.6, until)
                self.assertAlmostEqual(0.6, timeout_s)
                self.assertIs(model.Outcome.DONE, event.outcome)
                self.assertEqual(call, event.call)

    def test_unsuccessful_answers(self):
        rows = ((409, model.Outcome.UNAVAILABLE), (429, None), (503, None))
        for status, outcome in rows:
            event = self._perform(effects.SendDuty(ORDER, 12, 110.0),
                                  (status, None))
            self.assertIs(outcome or model.Outcome.FAILED, event.outcome)
        # 409 has no known meaning for a report: it fails, so that the report
        # is repeated with a growing delay instead of at each check.
        event = self._perform(effects.SendDuty(REPORT, 12, 110.0),
                              (409, None))
        self.assertIs(model.Outcome.FAILED, event.outcome)
        event = self._perform(effects.SendDuty(ORDER, 12, 110.0),
                              gateway_exceptions.CallFailed("timeout"))
        self.assertIs(model.Outcome.FAILED, event.outcome)

    def test_nothing_is_sent_after_the_lease_expires(self):
        event = self._perform(effects.SendDuty(REPORT, 12, 100.0),
                              (200, None))
        self.assertEqual([], self.requests)
        self.assertIs(model.Outcome.FAILED, event.outcome)

    def test_lease_read(self):
        event = self._perform(lease_effects.ReadLease(), (200, {
            "Meta": {"Rev": 9}, "Spec": {"holder": "x"}}))
        self.assertEqual(
            (Status.FOUND, 9, {"holder": "x"}),
            (event.status, event.version, json.loads(event.body)))
        for status, expected in ((404, Status.NOT_FOUND),
                                 (503, Status.UNAVAILABLE)):
            event = self._perform(lease_effects.ReadLease(), (status, None))
            self.assertIs(expected, event.status)

    def test_lease_write(self):
        rows = (
            (0, (201, {"Meta": {"Rev": 5}}), b"POST", Status.WRITTEN, 5),
            (5, (200, {"Meta": {"Rev": 6}}), b"PUT", Status.WRITTEN, 6),
            (5, (409, {}), b"PUT", Status.CONFLICT, 0),
            (0, (409, {}), b"POST", Status.CONFLICT, 0),
            # The object was removed: the lease is read again.
            (5, (404, {}), b"PUT", Status.CONFLICT, 0),
            (5, (503, {}), b"PUT", Status.UNAVAILABLE, 0),
            (5, (429, {}), b"PUT", Status.UNAVAILABLE, 0),
            (5, gateway_exceptions.CallFailed("timeout"), b"PUT",
             Status.UNKNOWN, 0),
            # With an invalid answer the result is unknown.
            (5, (200, {"x": 1}), b"PUT", Status.UNKNOWN, 0),
        )
        for version, reply, method, status, found in rows:
            with self.subTest(reply=reply):
                event = self._perform(lease_effects.WriteLease(
                    "n", 3, b'{"holder": "x"}', version), reply)
                _, sent_method, _, _, body, *_ = self.requests.pop()
                self.assertEqual(method, sent_method)
                self.assertEqual(version or None, body["Meta"].get("Rev"))
                self.assertEqual(
                    ("n", 3, status, found),
                    (event.nonce, event.number, event.status,
                     event.version))


class ScalingTest(unittest.TestCase):
    """Decoding of a service's autoscaling settings."""

    ROW = {"Name": "llm", "Autoscale": {
        "Min": 1, "Max": 20, "BootTimeoutS": 4.0, "SpotPrice": 0.18,
        "ZonePrices": {"a": 0.85}}}

    def test_limits_and_prices(self):
        found = catalogs.service(self.ROW).scaling
        self.assertEqual((1, 20, 4.0, {"a": 0.85}, 0.18), (
            found.min_engines, found.max_engines, found.boot_s, found.prices,
            found.spot_price))
        self.assertIsNone(catalogs.service({"Name": "llm"}).scaling)

    def test_service_without_spot_engines(self):
        row = {"Name": "llm", "Autoscale": {
            "Min": 1, "Max": 20, "BootTimeoutS": 4.0}}
        found = catalogs.service(row).scaling
        self.assertEqual((None, {}), (found.spot_price, found.prices))


if __name__ == "__main__":
    unittest.main()
