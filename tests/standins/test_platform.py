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


class PlatformCase(unittest.TestCase):
    def setUp(self):
        self.clock = testing.MemoryReactorClock()
        self.platform = object_api.new_platform(
            self.clock, [HOST], host_list_lag=2.0, token=TOKEN)
        object_api.serve_platform(self.platform, "127.0.0.1", 1)

    def conn(self, method, path, body=None, **headers):
        conn = client.Conn(self.platform.listener)
        return conn.send(method, path, body,
                         Authorization=f"Bearer {TOKEN}", **headers)

    def call(self, method, path, body=None, **headers):
        return self.conn(method, path, body, **headers).answer()

    def create(self):
        return self.call("PUT", PATH, b"one", If_None_Match="*")

    def faults(self, **faults):
        self.call("POST", "/faults", faults)

    def counts(self):
        return self.call("GET", "/counts").json


class ObjectTest(PlatformCase):
    def test_conditions_of_writes(self):
        """Two operators write over the same version.

        The second one's version is stale by then: it is refused and the
        first one's value stays.
        """
        self.call("PUT", "/objects/other", b"0", If_None_Match="*")
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
                got = self.call(method, PATH, body, **headers)
                self.assertEqual(status, got.status)
                if etag:
                    self.assertEqual(etag, got.headers["ETag"])
        self.assertEqual(b"row 10", self.call("GET", PATH).body)
        rows = self.call("GET", "/objects?prefix=conf/").json
        self.assertEqual(
            {"objects": [{"path": "conf/tree", "version": 5}]}, rows)

    def test_limits(self):
        big = b"x" * (object_api.MAX_OBJECT_BYTES + 1)
        got = self.call("PUT", PATH, big, If_None_Match="*")
        self.assertEqual(413, got.status)
        got = client.call(self.platform.listener, "GET", PATH)
        self.assertEqual(401, got.status)

    def test_watch(self):
        self.create()
        path = f"{PATH}?watch=1&timeout_s=30"
        idle = self.conn("GET", f"{PATH}?watch=1&timeout_s=5")
        waiting = self.conn("GET", path)
        self.clock.advance(5)
        self.assertEqual(304, idle.answer().status)
        self.assertIsNone(waiting.answer())
        self.call("PUT", PATH, b"two", If_Match='"1"')
        got = waiting.answer()
        self.assertEqual((200, '"2"', b"two"),
                         (got.status, got.headers["ETag"], got.body))
        self.assertEqual(200, self.call("GET", path).status)
        self.assertEqual(3, self.counts()["watch"])
        self.conn("GET", f"{PATH}?watch=2").close()
        self.assertEqual([], [c for c in self.clock.getDelayedCalls()
                              if c.func is object_api._expire])


class FaultTest(PlatformCase):
    def test_lost_answer_took_effect(self):
        """A write's connection breaks before its answer.

        The writer can't tell whether it was done. It was: a read shows
        the value, and the same conditional write is refused.
        """
        self.faults(lose_answers=1)
        conn = self.conn("PUT", PATH, b"one", If_None_Match="*")
        self.assertFalse(conn.is_open)
        self.assertIsNone(conn.answer())
        self.assertEqual(b"one", self.call("GET", PATH).body)
        self.assertEqual(412, self.create().status)

    def test_outage_and_hang_have_no_effect(self):
        """The platform is down, or takes calls and never answers.

        Waiting watches end with the outage, and no write of that time
        shows afterwards.
        """
        self.create()
        watch = self.conn("GET", f"{PATH}?watch=1")
        for fault, status in (("outage", 503), ("hang", None)):
            with self.subTest(fault=fault):
                self.faults(**{fault: True})
                got = self.call("PUT", PATH, b"two", If_Match='"1"')
                self.assertEqual(status, got and got.status)
                self.faults(**{fault: False})
                self.assertEqual(b"one", self.call("GET", PATH).body)
        self.assertEqual(503, watch.answer().status)
        self.assertEqual(3, self.counts()["put"])

    def test_slow_answer_of_a_write_done_at_once(self):
        self.faults(delay_s=3)
        conn = self.conn("PUT", PATH, b"one", If_None_Match="*")
        self.faults(delay_s=0)
        self.assertEqual(200, self.call("GET", PATH).status)
        self.clock.advance(2.9)
        self.assertIsNone(conn.answer())
        self.clock.advance(0.1)
        self.assertEqual(201, conn.answer().status)


class HostListTest(PlatformCase):
    def test_changes_show_after_the_lag(self):
        """A host leaves, but the list still calls it live for a while."""
        leaving = dict(HOST, state="leaving")
        self.call("POST", "/hosts", {"hosts": [leaving]})
        self.clock.advance(1.9)
        self.assertEqual({"at": 1, "hosts": [HOST]},
                         self.call("GET", "/hosts").json)
        self.clock.advance(0.1)
        self.assertEqual({"at": 2, "hosts": [leaving]},
                         self.call("GET", "/hosts").json)
