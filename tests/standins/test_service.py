"""Tests of the stand-in plain service."""
import unittest

from twisted.internet import testing

from standins import service_app
from standins import web
from tests.standins import client


class ServiceTest(unittest.TestCase):
    def setUp(self):
        self.clock = testing.MemoryReactorClock()
        cfg = service_app.ServiceConfig("desk-1", 1, 0.5)
        self.service = service_app.serve_service(
            self.clock, cfg, "127.0.0.1", 1)

    def confirm(self, key):
        return client.Conn(self.service.listener).send(
            "POST", "/confirm", {}, Idempotency_Key=key)

    def faults(self, **faults):
        client.call(self.service.listener, "POST", "/faults", faults)

    def runs(self):
        return client.call(self.service.listener, "GET", "/runs").json

    def test_dropped_answer_was_run(self):
        """A booking is confirmed, but the desk never hears of it.

        The service runs the call and the connection breaks before the
        answer; a repeat runs it a second time, which the count shows.
        """
        self.faults(drop_answer=1)
        first = self.confirm("k1")
        self.clock.advance(0.5)
        self.assertFalse(first.is_open)
        self.assertIsNone(first.answer())
        self.assertEqual({"k1": 1}, self.runs())
        second = self.confirm("k1")
        self.clock.advance(0.5)
        self.assertEqual("k1", second.answer().json["idempotency_key"])
        self.assertEqual({"k1": 2}, self.runs())

    def test_waiting_call_of_a_gone_caller_is_not_run(self):
        running = self.confirm("k1")
        self.confirm("k2").close()
        last = self.confirm("k3")
        self.clock.pump([0.5, 0.5])
        self.assertEqual([200, 200],
                         [c.answer().status for c in (running, last)])
        self.assertEqual({"k1": 1, "k3": 1}, self.runs())

    def test_crash_and_silence(self):
        """A service crashes, later its open connections go silent.

        Calls under way get no answer either way; new connections work
        once it has come back.
        """
        lost = self.confirm("k1")
        self.faults(crash=True)
        self.clock.advance(web.FAULT_ANSWER_SECONDS)
        self.assertFalse(lost.is_open)
        self.assertIsNone(self.service.listener.port)
        self.clock.advance(web.RESTART_SECONDS)
        self.assertIsNotNone(self.service.listener.port)
        silent = self.confirm("k2")
        self.faults(silent=True)
        self.clock.advance(0.5)
        self.assertIsNone(silent.answer())
        self.assertTrue(silent.is_open)
        fresh = self.confirm("k3")
        self.clock.advance(0.5)
        self.assertEqual(200, fresh.answer().status)
