"""Datagrams with deeply nested fields."""

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


if __name__ == "__main__":
    unittest.main()
