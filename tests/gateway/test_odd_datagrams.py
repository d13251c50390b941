"""Datagrams with deeply nested fields."""

import dataclasses
import unittest
from unittest import mock

from crocuskeel.gateway import gossip
import msgpack
from tests.gateway import test_datagrams

DEPTHS = (1, 50, 400, 900, 1000, 1023, 1024, 30_000)
LIST = (b"\x91", b"\x90")
MAP = (b"\x81\xa1a", b"\x80")


class DeepFieldsTest(unittest.TestCase):
    """Guards against a field that exceeds the stack as it is refused."""

    def test_only_value_error_is_raised(self):
        for depth in DEPTHS:
            for opened, last in (LIST, MAP):
                deep = opened * depth + last
                for event in test_datagrams.EVENTS:
                    fields = msgpack.unpackb(gossip.encode(event))
                    for number in range(len(fields)):
                        parts = [msgpack.packb(part) for part in fields]
                        parts[number] = deep
                        with self.subTest(type(event), depth=depth):
                            self._check(b"\xdc" + len(fields).to_bytes(2)
                                        + b"".join(parts))

    def _check(self, data):
        receiver = gossip.Gossip(mock.Mock())
        receiver.datagramReceived(data, ("10.0.0.9", 1))
        gateway = receiver.gateway
        self.assertEqual(1, gateway.log.call_count + gateway.feed.call_count)


class TimeOfDayTest(unittest.TestCase):
    """Guards against a time by which a host numbers its own windows."""

    def test_times_of_no_clock_are_refused(self):
        # The host's counts of the next window could not be encoded.
        for wall in (1e308, 1e18, 1e12, -1.0, -1e308, 2 ** 52):
            with self.subTest(wall):
                with self.assertRaises(ValueError):
                    gossip.decode(gossip.encode(dataclasses.replace(
                        test_datagrams.STATE, wall=wall)))
        for wall in (None, 0, 1.7e9, 1e11):
            state = dataclasses.replace(test_datagrams.STATE, wall=wall)
            self.assertEqual(state, gossip.decode(gossip.encode(state)))


if __name__ == "__main__":
    unittest.main()
