"""Tests of the stand-in platform."""
import unittest

from twisted.internet import testing

from standins import object_api
from tests.standins import client

TOKEN = "secret"
PATH = "/objects/conf/tree"
HOST = {"name": "e1", "address": "127.0.0.1", "port": 1,
        "domain": "perth-a", "region": "wa-south", "role": "engine",
        "service": "guide-llm", "state": "live"}


class PlatformTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = testing.MemoryReactorClock()
        self.platform = object_api.new_platform(
            self.clock, [HOST], host_list_lag=2.0, token=TOKEN)
        object_api.serve_platform(self.platform, "127.0.0.1", 1)

    def send(self, method, path, body=None, **headers):
        connection = client.Connection(self.platform.listener)
        return connection.send(method, path, body,
                               Authorization=f"Bearer {TOKEN}", **headers)

    def request(self, method, path, body=None, **headers):
        return self.send(method, path, body, **headers).response()

    def create(self):
        return self.request("PUT", PATH, b"one", If_None_Match="*")

    def faults(self, **faults):
        self.request("POST", "/faults", faults)

    def counts(self):
        return self.request("GET", "/counts").json


class ObjectTest(PlatformTestCase):
    def test_conditional_writes(self):
        """A write based on a stale version must be refused.

        Otherwise one of two concurrent writers would overwrite the
        value of the other.
        """
        self.request("PUT", "/objects/other", b"0", If_None_Match="*")
        table = (
            ("PUT", {"If_Match": '"1"'}, 412, None),
            ("PUT", {"If_None_Match": "*"}, 201, '"2"'),
            ("PUT", {"If_None_Match": "*"}, 412, '"2"'),
            ("PUT", {"If_Match": '"2"'}, 200, '"3"'),
            ("PUT", {"If_Match": '"2"'}, 412, '"3"'),
            ("PUT", {}, 428, None),
            ("DELETE", {"If_Match": '"2"'}, 412, '"3"'),
            ("DELETE", {"If_Match": '"3"'}, 200, '"4"'),
            ("DELETE", {"If_Match": '"3"'}, 404, None),
            ("PUT", {"If_Match": '"3"'}, 412, None),
            ("PUT", {"If_None_Match": "*"}, 201, '"5"'))
        for row, (method, headers, status, etag) in enumerate(table):
            with self.subTest(row=row):
                body = f"row {row}".encode()
                got = self.request(method, PATH, body, **headers)
                self.assertEqual(status, got.status)
                if etag:
                    self.assertEqual(etag, got.headers["ETag"])
        self.assertEqual(b"row 10", self.request("GET", PATH).body)
        rows = self.request("GET", "/objects?prefix=conf/").json
        self.assertEqual(
            {"objects": [{"path": "conf/tree", "version": 5}]}, rows)

    def test_size_limit_and_authorization(self):
        big = b"x" * (object_api.MAX_OBJECT_BYTES + 1)
        got = self.request("PUT", PATH, big, If_None_Match="*")
        self.assertEqual(413, got.status)
        got = client.request(self.platform.listener, "GET", PATH)
        self.assertEqual(401, got.status)

    def test_watch(self):
        self.create()
        path = f"{PATH}?watch=1&timeout_s=30"
        idle = self.send("GET", f"{PATH}?watch=1&timeout_s=5")
        waiting = self.send("GET", path)
        self.clock.advance(5)
        self.assertEqual(304, idle.response().status)
        self.assertIsNone(waiting.response())
        self.request("PUT", PATH, b"two", If_Match='"1"')
        got = waiting.response()
        self.assertEqual((200, '"2"', b"two"),
                         (got.status, got.headers["ETag"], got.body))
        self.assertEqual(200, self.request("GET", path).status)
        self.assertEqual(3, self.counts()["watch"])
        self.send("GET", f"{PATH}?watch=2").close()
        self.assertEqual([], [c for c in self.clock.getDelayedCalls()
                              if c.func is object_api._expire_watch])


class FaultTest(PlatformTestCase):
    def test_write_with_lost_response_takes_effect(self):
        """A write whose response is lost has taken effect.

        The connection breaks before the response; a read returns the new
        value and the same conditional write is refused.
        """
        self.faults(lose_answers=1)
        connection = self.send("PUT", PATH, b"one", If_None_Match="*")
        self.assertFalse(connection.is_open)
        self.assertIsNone(connection.response())
        self.assertEqual(b"one", self.request("GET", PATH).body)
        self.assertEqual(412, self.create().status)

    def test_writes_during_outage_or_hang_have_no_effect(self):
        """A write during an outage or a hang must not take effect.

        In an outage calls fail and open watches end; in a hang calls are
        accepted but never answered.
        """
        self.create()
        watch = self.send("GET", f"{PATH}?watch=1")
        for fault, status in (("outage", 503), ("hang", None)):
            with self.subTest(fault=fault):
                self.faults(**{fault: True})
                got = self.request("PUT", PATH, b"two", If_Match='"1"')
                self.assertEqual(status, got and got.status)
                self.faults(**{fault: False})
                self.assertEqual(b"one", self.request("GET", PATH).body)
        self.assertEqual(503, watch.response().status)
        self.assertEqual(3, self.counts()["put"])

    def test_delayed_response_of_a_write_that_takes_effect_at_once(self):
        self.faults(delay_s=3)
        connection = self.send("PUT", PATH, b"one", If_None_Match="*")
        self.faults(delay_s=0)
        self.assertEqual(200, self.request("GET", PATH).status)
        self.clock.advance(2.9)
        self.assertIsNone(connection.response())
        self.clock.advance(0.1)
        self.assertEqual(201, connection.response().status)


class HostListTest(PlatformTestCase):
    def test_changes_are_visible_after_the_lag(self):
        """A leaving host is still listed as live until the lag has passed."""
        leaving = dict(HOST, state="leaving")
        self.request("POST", "/hosts", {"hosts": [leaving]})
        self.clock.advance(1.9)
        self.assertEqual({"at": 1, "hosts": [HOST]},
                         self.request("GET", "/hosts").json)
        self.clock.advance(0.1)
        self.assertEqual({"at": 2, "hosts": [leaving]},
                         self.request("GET", "/hosts").json)
