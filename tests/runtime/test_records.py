"""Metrics and lines go out in batches."""

import dataclasses
import socket
import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.runtime import loop
from crocuskeel.runtime import records
from tests.runtime import support


class Metrics(unittest.TestCase):
    """What a statsd server hears."""

    def test_one_datagram_for_many(self):
        """A request's metrics cost a system call each, tens a request.

        Those of one span must come as one datagram, none lost, and
        those of the next span as another.
        """
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        place = f"127.0.0.1:{server.getsockname()[1]}"
        world = support.new_world(
            dataclasses.replace(support.new_cfg(), statsd=place))
        world.script[events.DrainAsked] = lambda _: [
            effects.Measure("sent", 1), effects.Measure("held", 2, "g"),
            effects.Measure("took", 3.0, "ms")]
        for _ in range(2):
            loop.feed(world.ctx, events.DrainAsked())
            world.reactor.advance(records.FLUSH_S)
            self.assertEqual(server.recv(4096).split(b"\n"), [
                b"crocuskeel.sent:1|c", b"crocuskeel.held:2|g",
                b"crocuskeel.took:3.000000|ms"])
