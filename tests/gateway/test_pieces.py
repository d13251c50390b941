"""Events of a stream, datagrams and log lines."""

import json
import os
import unittest

from crocuskeel.core import duties
from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import serverload
from crocuskeel.gateway import events_split
from crocuskeel.gateway import gossip
from crocuskeel.gateway import logs
from crocuskeel.gateway import sockets
import msgpack
from tests.entry import support
from twisted.internet import task


class SplitterTest(unittest.TestCase):
    """Whole events only."""

    def test_any_cut_gives_the_same_events(self):
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n\n"
        whole = events_split.Splitter().feed(data)
        self.assertEqual([1, 2, 3], [events_split.event_id(event)
                                     for event in whole])
        for cut in range(len(data)):
            splitter = events_split.Splitter()
            found = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
            self.assertEqual(whole, found)
            self.assertEqual(b"", splitter.rest)

    def test_an_endless_event_is_refused(self):
        splitter = events_split.Splitter()
        with self.assertRaises(ValueError):
            splitter.feed(b"x" * (events_split.EVENT_MOST + 1))


class GossipTest(unittest.TestCase):
    """Datagrams between hosts."""

    def test_all_kinds_come_back_as_sent(self):
        for event in (
                events.Heard(support.peer(), True, False, 3, 4,
                             (("d", "s"),), (("s", 1, 2, 1, 30),),
                             (("s", "p", 9),), True, ("host-2",)),
                events.Heard(support.peer(), True, False, 3, 4,
                             wall=1.7e9 + 0.25,
                             leader=duties.Leader(9, "host-2", 7),
                             wanted=carrying.Wanted(30, 1.5)),
                duties.Usage("host-1", 4, ((7, (("hire", 3),)),)),
                events.LoadHeard("host-1", (("s", 1, 2, 1, 30),),
                                 ("t",))):
            self.assertEqual(event, gossip.decode(gossip.encode(event)))

    def test_a_state_among_thousands_of_servers_fits_a_datagram(self):
        # Hosts know nothing of each other at the start of a large fleet:
        # all its servers count as just heard, their rows are more than a
        # datagram holds, and the system refuses to send it.
        servers = [support.server(f"i-{number:010x}", "engines")
                   for number in range(3000)]
        driver = support.Driver(support.stream(), servers=servers)
        for state in driver.host.servers.values():
            serverload.note_work(driver.host, state)
        driver.host.servers[servers[-1].sid].mine[1, 0] = 500
        driver.feed(events.PeersSeen((support.peer("other"),)))
        tell = support.only(driver.feed(events.Ticked(), 0.3),
                            effects.Tell)[0]
        self.assertLess(len(gossip.encode(tell.event)), 65_000)
        self.assertEqual(servers[-1].sid, tell.event.loads[0][0])

    def test_what_is_no_datagram_of_a_host_is_refused(self):
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
    """Log lines, bounded."""

    def test_a_pipe_that_nobody_reads_holds_nothing_up(self):
        # A full pipe would stop the one thread, and with it the host.
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
    """Writes without a turn of the loop, in order and whole."""

    class _Transport:
        disconnecting = False
        dataBuffer = b""
        offset = 0
        _tempDataLen = 0

        def __init__(self, takes):
            self.takes = takes
            self.sent = b""

        def writeSomeData(self, data):
            if not isinstance(self.takes, int):
                return self.takes
            self.sent += data[:self.takes]
            return min(self.takes, len(data))

        def write(self, data):
            self.dataBuffer += data

    def test_what_the_connection_does_not_take_waits(self):
        # A caller that reads slowly: what follows must not overtake it.
        transport = self._Transport(3)
        sockets.write(transport, b"one")
        sockets.write(transport, b"three")
        sockets.write(transport, b"four")
        self.assertEqual((b"onethr", b"eefour"),
                         (transport.sent, transport.dataBuffer))

    def test_a_lost_connection_is_left_to_the_transport(self):
        transport = self._Transport(OSError("gone"))
        sockets.write(transport, b"one")
        self.assertEqual(b"one", transport.dataBuffer)
