"""Decoding of entries of backend servers and of services."""

import json
import random
import unittest

from crocuskeel.platform import catalogs
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects

SPEC = {"Service": "plain", "Addr": "10.0.0.9:80", "Zone": "a",
        "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 250,
        "Seq": 3, "born": 1_790_000_000_000}


def _entry(**changes):
    spec = {**SPEC, **changes}
    return {"Meta": {"Name": "i-1", "Rev": 4},
            "Spec": {key: value for key, value in spec.items()
                     if value is not ...}}


class ServerTest(unittest.TestCase):
    """Valid and invalid entries of servers."""

    def test_valid_entry(self):
        server = objects.server(_entry())
        self.assertEqual(
            ("i-1", "plain", ("10.0.0.9", 80), 0.25, SPEC["born"], "v1"),
            (server.sid, server.service, server.address, server.warmup_left_s,
             server.started_ms, server.version))

    def test_versions_that_are_long_or_not_printable_stay_apart(self):
        # Hosts send versions to each other in datagrams.
        texts = ("x" * 4_000, "x" * 4_001, "\ud800", "\ud801", "a\nb", "v1")
        found = {objects.server(_entry(Version=text)).version
                 for text in texts}
        self.assertEqual(len(texts), len(found))
        self.assertLessEqual(max(map(len, found)), 64)
        for version in found:
            version.encode()

    def test_start_time_is_optional(self):
        self.assertIsNone(objects.server(_entry(born=...)).started_ms)

    def test_number_of_creation_is_optional(self):
        for value, expected in ((7, 7), (0, 0), (None, None), ("7", None),
                                (-1, None), (True, None), (1 << 63, None)):
            entry = _entry()
            entry["Meta"]["CreatedRev"] = value
            self.assertEqual(expected, objects.server(entry).created)
        self.assertIsNone(objects.server(_entry()).created)

    def test_missing_and_invalid_fields(self):
        # One invalid entry, written by another program, stopped a host from
        # reading the list: it no longer saw servers join or leave.
        invalid = [{key: ...} for key in SPEC if key != "born"]
        invalid += [
            {"Service": 7}, {"Service": ""}, {"Service": None},
            {"Addr": "10.0.0.9"}, {"Addr": ":80"}, {"Addr": "10.0.0.9:0"},
            {"Addr": "10.0.0.9:99999"}, {"Addr": "here:80"},
            {"Addr": ["10.0.0.9", 80]}, {"Addr": "10.0.0.9:8e1"},
            {"Slots": "6"}, {"Slots": 0}, {"Slots": -1}, {"Slots": 2.5},
            {"Slots": True}, {"State": "paused"}, {"State": ["ready"]},
            {"State": None}, {"Zone": 4}, {"ColdLeftMs": "soon"},
            {"ColdLeftMs": -1}, {"ColdLeftMs": float("nan")},
            {"Seq": "3"}, {"Seq": None}, {"Version": 1},
            {"born": "1790000000000"}, {"born": 1.5}, {"born": None},
            {"born": True}]
        for changes in invalid:
            with self.subTest(changes=changes):
                with self.assertRaises(exceptions.InvalidObjectError):
                    objects.server(_entry(**changes))

    def test_malformed_objects(self):
        meta = {"Name": "i-1", "Rev": 4}
        for obj in (None, 7, "x", [], {}, {"Meta": None, "Spec": SPEC},
                    {"Meta": meta}, {"Meta": meta, "Spec": None},
                    {"Meta": meta, "Spec": "\ufffd\x00"},
                    {"Meta": meta, "Spec": [SPEC]},
                    {"Meta": {"Name": ""}, "Spec": SPEC},
                    {"Meta": {"Name": 4}, "Spec": SPEC},
                    {"Meta": {}, "Spec": SPEC}):
            with self.subTest(obj=obj):
                with self.assertRaises(exceptions.InvalidObjectError):
                    objects.server(obj)

    def test_only_invalid_object_error_is_raised(self):
        rng = random.Random(7)
        values = [None, 0, -1, 1.5, "", "ready", "\x00", [], {}, True,
                  {"a": [1]}, "9" * 400, 10 ** 30, float("inf")]
        for _ in range(3000):
            obj = json.loads(json.dumps(_entry(born=...)))
            for _ in range(rng.randint(1, 3)):
                holder = rng.choice(
                    [part for part in (obj, obj.get("Meta"),
                                       obj.get("Spec"))
                     if isinstance(part, dict)])
                if holder:
                    key = rng.choice(sorted(holder))
                    holder[key] = rng.choice(values)
            try:
                objects.server(obj)
            except exceptions.InvalidObjectError:
                continue


if __name__ == "__main__":
    unittest.main()


class EngineTest(unittest.TestCase):
    """Decoding of a service's engines."""

    def _engine(self, **fields):
        row = {"Name": "guide", "Engine": {
            "Slots": 64, "KvTokens": 500_000, **fields}}
        return catalogs.service(row).engine

    def test_transfer_time_of_the_kv_cache(self):
        # 327,680 bytes a token over 550 Gbit/s.
        engine = self._engine(KvBytes=327_680, LinkMbps=550_000.0)
        self.assertAlmostEqual(4.77e-6, engine.fetch_token_s, 8)

    def test_engines_without_kv_transfer(self):
        for fields in ({}, {"KvBytes": 1}, {"LinkMbps": 9.0},
                       {"KvBytes": 1, "LinkMbps": 0}):
            with self.subTest(fields):
                self.assertEqual(0.0, self._engine(**fields).fetch_token_s)
