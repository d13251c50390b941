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

    def send_confirm(self, key):
        return client.Connection(self.service.listener).send(
            "POST", "/confirm", {}, Idempotency_Key=key)

    def faults(self, **faults):
        client.request(self.service.listener, "POST", "/faults", faults)

    def runs(self):
        return client.request(self.service.listener, "GET", "/runs").json

    def test_call_with_dropped_response_is_run(self):
        """A call whose response is dropped has run; a retry runs it again.

        The connection breaks after the service has run the call and
        before the response; the run count shows both runs.
        """
        self.faults(drop_answer=1)
        first = self.send_confirm("k1")
        self.clock.advance(0.5)
        self.assertFalse(first.is_open)
        self.assertIsNone(first.response())
        self.assertEqual({"k1": 1}, self.runs())
        second = self.send_confirm("k1")
        self.clock.advance(0.5)
        self.assertEqual("k1", second.response().json["idempotency_key"])
        self.assertEqual({"k1": 2}, self.runs())

    def test_waiting_call_of_a_disconnected_caller_is_not_run(self):
        running = self.send_confirm("k1")
        self.send_confirm("k2").close()
        last = self.send_confirm("k3")
        self.clock.pump([0.5, 0.5])
        self.assertEqual([200, 200],
                         [c.response().status for c in (running, last)])
        self.assertEqual({"k1": 1, "k3": 1}, self.runs())

    def test_crash_and_silent_connections(self):
        """Calls in progress get no response; new connections work.

        First the service crashes and restarts, then its open connections
        become silent.
        """
        lost = self.send_confirm("k1")
        self.faults(crash=True)
        self.clock.advance(web.CRASH_DELAY_SECONDS)
        self.assertFalse(lost.is_open)
        self.assertIsNone(self.service.listener.port)
        self.clock.advance(web.RESTART_SECONDS)
        self.assertIsNotNone(self.service.listener.port)
        silent = self.send_confirm("k2")
        self.faults(silent=True)
        self.clock.advance(0.5)
        self.assertIsNone(silent.response())
        self.assertTrue(silent.is_open)
        new_request = self.send_confirm("k3")
        self.clock.advance(0.5)
        self.assertEqual(200, new_request.response().status)
