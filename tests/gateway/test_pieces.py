"""Event streams, datagrams, log lines and socket writes."""

import json
import os
import tempfile
import unittest

from crocuskeel.core import duties
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import serving
from crocuskeel.gateway import event_stream
from crocuskeel.gateway import gossip
from crocuskeel.gateway import logs
from crocuskeel.gateway import sockets
import msgpack
from tests.entry import support
from twisted.internet import task


class EventSplitterTest(unittest.TestCase):
    """Splitting of a stream into events."""

    def test_events_do_not_depend_on_chunk_boundaries(self):
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n\n"
        whole = event_stream.EventSplitter().feed(data)
        self.assertEqual([1, 2, 3], [event_stream.event_id(event)
                                     for event in whole])
        for cut in range(len(data)):
            splitter = event_stream.EventSplitter()
            found = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
            self.assertEqual(whole, found)
            self.assertEqual(b"", splitter.partial)

    def test_oversized_event_is_rejected(self):
        splitter = event_stream.EventSplitter()
        with self.assertRaises(ValueError):
            splitter.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))


class GossipTest(unittest.TestCase):
    """Datagrams between hosts."""

    def test_round_trip_of_all_events(self):
        for event in (
                events.PeerStateReceived(support.peer(), True, False, 3, 4,
                                         (("d", "s"),),
                                         (("s", 1, 2, 1, 30, (), 7),),
                                         (("s", "p", 9),), True, ("host-2",)),
                events.PeerStateReceived(
                    support.peer(), True, False, 3, 4, wall=1.7e9 + 0.25,
                    leader=duties.Leader(9, "host-2", 7),
                    serving_demand=serving.ServingDemand(30, 1.5)),
                duties.Usage("host-1", 4, ((7, (("hire", 3),)),)),
                events.PeerLoadsReceived(
                    "host-1", (("s", 1, 2, 1, 30, (), 7),), ("t",))):
            self.assertEqual(event, gossip.decode(gossip.encode(event)))

    def test_state_with_thousands_of_servers_fits_a_datagram(self):
        # When a large fleet starts, all servers count as recently heard of:
        # their rows exceeded the size of a datagram, and the send failed.
        servers = [support.server(f"i-{number:010x}", "engines")
                   for number in range(3000)]
        driver = support.Driver(support.stream(), servers=servers)
        for state in driver.host.servers.values():
            server_load.note_work(driver.host, state)
        driver.host.servers[servers[-1].sid].own_attempts[1, 0] = 500
        driver.feed(events.PeersListed((support.peer("other"),)))
        tell = support.effects_of(driver.feed(events.Ticked(), 0.3),
                                  effects.SendToPeer)[0]
        self.assertLess(len(gossip.encode(tell.event)), 65_000)
        self.assertEqual(servers[-1].sid, tell.event.loads[0][0])

    def test_malformed_datagrams_are_rejected(self):
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91\xa1x",
                     b"hello", bytes(200), b"\x92\x00\xa1x",
                     msgpack.packb((("h", 1, "d", "f", (), (), 1.0), True,
                                    False, 3, 4, (), (), (), True, (), 0.0,
                                    None, 5, (0, 0.0))),
                     msgpack.packb((1, "h", ((7, 1.0, 5),), ())),
                     msgpack.packb((1, "h", (("s", -1.0, 5),), ())),
                     msgpack.packb((1, "h", (("s", 1.0),), ())),
                     msgpack.packb((1, "h", (), (("s", 7),))),
                     msgpack.packb((1, "h", (), ("s",)))):
            with self.assertRaises(ValueError):
                gossip.decode(data)


class LogTest(unittest.TestCase):
    """Limits on log lines."""

    def test_lines_of_a_stop_are_not_left_out(self):
        # A busy host has used up its rate as it ends.
        with tempfile.TemporaryFile() as target:
            write, flush = logs.new_log(
                task.Clock(), target.fileno(), "host-1")
            for _ in range(2 * int(logs.LINES_BURST)):
                write("sent", {})
            for event in ("sent", "cut_by_stop", "stopped"):
                write(event, {})
            flush()
            target.seek(0)
            written = [json.loads(line)["event"] for line in target]
        self.assertEqual(["sent", "cut_by_stop", "stopped"], written[-3:])
        self.assertEqual(logs.LINES_BURST, written.count("sent"))

    def test_unread_pipe_does_not_block(self):
        # A full pipe would block the only thread, and so the host.
        reader, writer = os.pipe()
        clock = task.Clock()
        write, flush = logs.new_log(clock, writer, "host-1")
        for number in range(3000):
            write("sent", {"n": number, "pad": "x" * 100})
        text = b""
        os.set_blocking(reader, False)
        for _ in range(50):
            flush()
            try:
                text += os.read(reader, 1 << 20)
            except BlockingIOError:
                break
        clock.advance(10)
        write("later", {})
        flush()
        text += os.read(reader, 1 << 20)
        lines = [json.loads(line) for line in text.splitlines()]
        self.assertEqual(logs.LINES_BURST,
                         sum(line["event"] == "sent" for line in lines))
        self.assertIn(3000 - logs.LINES_BURST,
                      [line.get("count") for line in lines])
        os.close(reader)
        os.close(writer)


class WriteTest(unittest.TestCase):
    """Immediate writes, complete and in order."""

    class _Transport:
        disconnecting = False
        dataBuffer = b""
        offset = 0
        _tempDataLen = 0

        def __init__(self, capacity):
            self.capacity = capacity
            self.sent = b""

        def writeSomeData(self, data):
            if not isinstance(self.capacity, int):
                return self.capacity
            self.sent += data[:self.capacity]
            return min(self.capacity, len(data))

        def write(self, data):
            self.dataBuffer += data

    def test_unsent_bytes_are_buffered_in_order(self):
        # With a slow reader, later data must not overtake buffered data.
        transport = self._Transport(3)
        sockets.write(transport, b"one")
        sockets.write(transport, b"three")
        sockets.write(transport, b"four")
        self.assertEqual((b"onethr", b"eefour"),
                         (transport.sent, transport.dataBuffer))

    def test_lost_connection_is_reported_by_the_transport(self):
        transport = self._Transport(OSError("gone"))
        sockets.write(transport, b"one")
        self.assertEqual(b"one", transport.dataBuffer)
