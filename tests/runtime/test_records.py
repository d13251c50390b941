"""Metrics and log lines are written in batches."""

import dataclasses
import socket
import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.runtime import loop
from crocuskeel.runtime import records
from tests.runtime import support


class Metrics(unittest.TestCase):
    """Metrics received by a statsd server."""

    def test_metrics_are_sent_in_one_datagram(self):
        """Metrics sent one by one cost tens of system calls per request.

        Those of one flush interval must arrive in one datagram, without
        loss, and those of the next interval in another.
        """
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        harness = support.new_harness(
            dataclasses.replace(support.new_settings(), statsd=address))
        harness.script[events.DrainAsked] = lambda _: [
            effects.Measure("sent", 1), effects.Measure("held", 2, "g"),
            effects.Measure("took", 3.0, "ms")]
        for _ in range(2):
            loop.feed(harness.ctx, events.DrainAsked())
            harness.reactor.advance(records.FLUSH_S)
            self.assertEqual(server.recv(4096).split(b"\n"), [
                b"crocuskeel.sent:1|c", b"crocuskeel.held:2|g",
                b"crocuskeel.took:3.000000|ms"])
