"""Odd entries and answers of the platform cost only themselves."""

import json
import unittest

from crocuskeel import objectapi
from tests.objectapi import test_client
from tests import odd_forms
from twisted.internet import task

ENGINE = {"name": "e2", "address": "10.0.0.2", "port": 80, "domain": "a",
          "region": "r", "role": "engine", "service": "s", "state": "live"}
GOOD = {**ENGINE, "name": "e1", "address": "10.0.0.1"}
# Whole entries, each odd in one place.
ENTRIES = tuple(
    text for form in odd_forms.FORMS
    for text in odd_forms.replaced(ENGINE, form))
# Values that no field but a name or an unused one may have.
PORTS = tuple(json.dumps({**ENGINE, "port": None}).replace("null", port)
              for port in ("99999", "65536", "0", "-1", "1e400", "NaN", "true",
                           odd_forms.DIGITS, *map(json.dumps, (
                               "\uff11\uff12", "\u00b2", "", "1.5"))))


def _answer(body):
    return objectapi.HttpResponse(200, {"etag": '"7"'}, body.encode())


def _hosts(*entries, at="4"):
    return _answer('{"at": %s, "hosts": [%s]}' % (at, ", ".join(entries)))


def _result(response):
    """Return a client's result of the host list, after all its retries."""
    clock = task.Clock()
    client = test_client.new_client(
        test_client.FakeApi([response] * 9), clock)
    found, _ = test_client.advance_until_fired(clock, client.hosts())
    return found


class HostListTest(unittest.TestCase):
    """Guards against an odd entry that ends the view of all engines."""

    def test_other_engines_hold(self):
        # The call failed with an error that nobody handled: no list was
        # asked for any more.
        for text in ENTRIES:
            found = _result(_hosts(json.dumps(GOOD), text, json.dumps(GOOD)))
            with self.subTest(text[:150]):
                self.assertIsInstance(found, objectapi.HostList)
                self.assertEqual(2, sum(
                    host.name == "e1" for host in found.hosts))
                self.assertEqual(3, len(found.hosts) + found.fault_count)
                for host in found.hosts:
                    self._check_usable(host)

    def _check_usable(self, host):
        self.assertTrue(0 < host.port < 65536)
        for text in (host.name, host.address, host.role, host.service):
            self.assertLess(len(text.encode()), 1000)

    def test_port_out_of_range_names_nothing(self):
        # Each request to such an engine failed with another error.
        for text in PORTS:
            with self.subTest(text[:150]):
                found = _result(_hosts(json.dumps(GOOD), text))
                self.assertEqual((1, 1), (len(found.hosts),
                                          found.fault_count))

    def test_odd_list_is_unavailable(self):
        bodies = [*odd_forms.OBJECTS, "", "[" * 9, '{"at": 4}']
        bodies += ['{"at": 4, "hosts": %s}' % text for text in
                   (*odd_forms.NUMBERS, *odd_forms.TEXTS, "null", "{}")]
        bodies += ['{"at": %s, "hosts": []}' % text for text in (
            "1e400", "NaN", "-1", "true", "null", "9223372036854775808",
            odd_forms.DIGITS)]
        for body in bodies:
            with self.subTest(body[:80]):
                self.assertEqual(objectapi.Unavailable("bad_answer"),
                                 _result(_answer(body)))

    def test_many_odd_entries(self):
        found = _result(_hosts(*(PORTS[0], ) * 1000, json.dumps(GOOD)))
        self.assertEqual((1, 1000), (len(found.hosts), found.fault_count))
        self.assertLess(len(repr(found)), 4000)

    def test_odd_versions_and_waits(self):
        for text in ("1e400", "-1", "", odd_forms.DIGITS, "9" * 30, "\u00b2"):
            response = objectapi.HttpResponse(200, {"etag": text}, b"x")
            clock = task.Clock()
            client = test_client.new_client(
                test_client.FakeApi([response] * 9), clock)
            found, _ = test_client.advance_until_fired(
                clock, client.get("a"))
            self.assertEqual(objectapi.Unavailable("bad_answer"), found)
        for text in ("inf", "nan", "-1", "1e400", "soon", odd_forms.DIGITS):
            busy = objectapi.HttpResponse(429, {"retry-after": text}, b"")
            found = _result(busy)
            self.assertEqual(objectapi.Unavailable("busy"), found)


if __name__ == "__main__":
    unittest.main()
