"""Odd entries of other writers in each kind that hosts read."""

import json
import tracemalloc
import unittest
from unittest import mock

from crocuskeel import decoding
from crocuskeel.platform import catalogs
from crocuskeel.platform import exceptions
from crocuskeel.platform import stored_crashes
from crocuskeel.platform import stream_records
from tests import fuzz_entries
from tests import odd_forms
from tests.platform import test_foreign_entries as foreign
from tools.soak import configs

ROUTE = {"Name": "r", "Host": "h", "Prefix": "/a/", "Kind": "safe",
         "Service": "plain", "TimeoutMs": 900}
CONFIG = {"Meta": {"Name": "main", "Rev": 3},
          "Spec": {"Version": 2, "Routes": [ROUTE], "Services": [
              {"Name": "plain", "MaxConns": 5}]}}

NEAR_LIMIT = tuple(map(odd_forms.nested, range(900, 1_000)))


class DepthTest(unittest.TestCase):
    """Guards against values that are decoded here and fail elsewhere."""

    def test_deep_name_in_a_change_ends_no_watch(self):
        # The name is written to the log.
        for text in (*odd_forms.DEEP, *NEAR_LIMIT):
            with self.subTest(text[:9], size=len(text)):
                host = foreign._Host()
                host.start(self)
                host.answer(foreign._page(foreign.GOOD))
                host.answer(foreign._changes(
                    6, '{"Meta": {"Name": %s}}' % text, foreign.DRAINING))
                self.assertNotIn("follower_died", host.log_lines)
                self.assertEqual({"i-1": True}, host.known())

    def test_configuration_with_a_deep_field_is_passed_on(self):
        # Hosts that don't read the store got no snapshot at all.
        for text in (*odd_forms.DEEP, *NEAR_LIMIT):
            with self.subTest(text[:9], size=len(text)):
                found = decoding.loads((json.dumps(CONFIG)[:-1] + (
                    ', "Other": %s}' % text)).encode())
                self.assertEqual(CONFIG["Spec"], found["Spec"])
                self.assertEqual(found, self._encoded(found, 50))

    def _encoded(self, value, calls):
        """Return what another host reads, encoded some calls further down."""
        if calls:
            return self._encoded(value, calls - 1)
        return json.loads(json.dumps(value))


class ConfigurationTest(unittest.TestCase):
    """Guards against a configuration that fails after it was taken."""

    def test_values_of_other_types_are_refused(self):
        # Requests of the route, or each tick of the host, raised an error.
        spec = fuzz_entries.CONFIG["Spec"]
        for section, number, field, value in (
                ("Routes", 0, "Name", []), ("Routes", 0, "Prefix", ["a"]),
                ("Routes", 0, "Priority", None),
                ("Routes", 0, "Priority", -1),
                ("Routes", 0, "Priority", 2 ** 52),
                ("Routes", 0, "Attempts", 1.5),
                ("Routes", 0, "TimeoutMs", True),
                ("Routes", 0, "GapAimMs", "1"),
                ("Routes", 0, "Split", [{"Service": "a", "Weight": None}]),
                ("Routes", 0, "Split", [{"Service": 7, "Weight": 1}]),
                ("Routes", 0, "Split", [{"Service": "a", "Weight": 0}]),
                ("Routes", 0, "Split", {"a": 1}),
                ("Routes", 1, "Service", 7),
                ("Services", 0, "MaxConns", "9"),
                ("Services", 0, "HealthPath", "/a b"),
                ("Services", 1, "Engine", {"Slots": 0, "KvTokens": 9}),
                ("Services", 1, "Engine", {"Slots": 9, "KvTokens": "9"}),
                ("Services", 1, "Autoscale", {
                    "Min": "1", "Max": 2, "BootTimeoutS": 1}),
                ("Tenants", 0, "Name", 7), ("Tenants", 0, "ApiKeys", "key"),
                ("Tenants", 0, "Priority", "1")):
            rows = list(spec[section])
            rows[number] = {**rows[number], field: value}
            with self.subTest(field=field, value=value):
                with self.assertRaises(exceptions.InvalidObjectError):
                    catalogs.catalog({**fuzz_entries.CONFIG, "Spec": {
                        **spec, section: rows}})

    def test_valid_configurations(self):
        for spec in (configs.new_config(3, "k"), fuzz_entries.CONFIG["Spec"],
                     CONFIG["Spec"], {"Version": 1}):
            found = catalogs.catalog({"Meta": {"Name": "main", "Rev": 3},
                                      "Spec": spec})
            self.assertEqual(spec["Version"], found.version)

    def test_pause_of_0_is_that_of_a_route_without_one(self):
        # The rank of a stream was divided by it.
        for gap in ({}, {"GapAimMs": 0}):
            found = catalogs.catalog({"Meta": {"Name": "main", "Rev": 3},
                                      "Spec": {"Version": 1, "Routes": [
                                          {**ROUTE, **gap}]}})
            self.assertEqual(1.0, found.routes["h"][0].gap_s)

    def test_least_pause_is_one_that_hosts_tell_each_other(self):
        found = catalogs.catalog({"Meta": {"Name": "main", "Rev": 3}, "Spec": {
            "Version": 1, "Routes": [{**ROUTE, "GapAimMs": 1e-300}]}})
        self.assertEqual(0.001, found.routes["h"][0].gap_s)


class KindsTest(unittest.TestCase):
    """Guards against an odd entry of a kind that hosts read."""

    def test_servers(self):
        for text in odd_forms.OBJECTS:
            with self.subTest(text[:100]):
                host = foreign._Host()
                host.start(self)
                host.answer(foreign._page(text, foreign.GOOD, text))
                host.answer(foreign._changes(
                    6, text, foreign.DRAINING, text))
                self.assertNotIn("follower_died", host.log_lines)
                self.assertEqual({"i-1": True}, host.known())

    def test_addresses_of_servers(self):
        for address in odd_forms.ADDRESSES:
            host = foreign._Host()
            host.start(self)
            host.answer(foreign._page(foreign.GOOD, json.dumps(
                foreign._entry("i-2", Addr=address))))
            self.assertEqual({"i-1": False}, host.known())

    def test_list_of_odd_servers(self):
        host = foreign._Host()
        host.start(self)
        odd = json.dumps(foreign._entry("i-2", Addr="10.0.0.9:99999"))
        last = json.dumps(foreign._entry("i-3"))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        host.answer(foreign._page(*[odd] * 500, foreign.GOOD, More=True))
        host.answer(foreign._page(*[odd] * 500, last))
        self.assertEqual({"i-1", "i-3"}, set(host.known()))
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 << 20)

    def test_odd_pages_are_asked_for_again(self):
        texts = [*odd_forms.VALUES, foreign._page(foreign.GOOD)[:-9]]
        texts += ['{"Items": [], "AsOf": %s}' % text for text in
                  odd_forms.VALUES if text != "9223372036854775807"]
        for text in texts:
            with self.subTest(text[:100]):
                host = foreign._Host()
                host.start(self)
                host.answer(text)
                host.clock.advance(2.0)
                self.assertNotIn("follower_died", host.log_lines)
                host.answer(foreign._page(foreign.GOOD))
                self.assertEqual({"i-1": False}, host.known())

    def test_records_and_hosts(self):
        gateway = mock.Mock()
        executor = stream_records.new_record_executor(
            None, gateway, mock.Mock(era=0))
        for valid, decode in (
                (fuzz_entries.VERSIONS, executor._version_record),
                (fuzz_entries.SEGMENT, executor._segment),
                (fuzz_entries.CRASHES, stored_crashes.decode),
                (fuzz_entries.HOST, executor._peer),
                (CONFIG, foreign._Host().watcher.apply_config)):
            for form in odd_forms.BRIEF:
                for text in odd_forms.replaced(valid, form):
                    decode(decoding.loads(text.encode()))


if __name__ == "__main__":
    unittest.main()
