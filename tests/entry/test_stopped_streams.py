"""Records of streams and versions as all hosts stop."""

import unittest

from crocuskeel.core.entry import events
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import record_events
from tests.entry import streams
from tests.entry import support
from tests.entry import versions


class VersionsTest(unittest.TestCase):
    """Guards against versions that no host records as all stop.

    Streams that began there went on at another version, as the hosts that
    started next didn't know of them.
    """

    def _host(self, leaving=(), **kwargs):
        host = streams.Driver(
            2, 0, store=lambda: versions.known("v1"), **kwargs)
        versions.run(host, 0.6, *leaving)
        for name in leaving:
            host.feed(events.PeerStateReceived(
                support.peer(name), False, True, 10, 5, catalog_version=10,
                former_versions=()))
        host.feed(events.StopAsked())
        return host

    def _join(self, host):
        host.feed(events.ServersChanged(
            (support.server("b0", "engines", version="v2"), ), (), 6))

    def test_version_that_joins_after_the_stop_is_recorded(self):
        for name in (versions.FIRST, versions.SECOND):
            with self.subTest(name=name):
                others = set(streams.NAMES) - {name}
                host = self._host(others, name=name)
                self._join(host)
                for _ in range(5):
                    for other in others:
                        host.feed(events.PeerStateReceived(
                            support.peer(other), False, True, 10, 5,
                            catalog_version=10, former_versions=()))
                    host.feed(events.Ticked(), 0.3)
                self.assertEqual({"v1", "v2"}, versions.names(host.store))

    def test_host_alone_records_it(self):
        host = self._host(name=versions.FIRST, peers=(versions.FIRST, ))
        self._join(host)
        self.assertEqual({"v1", "v2"}, versions.names(host.store))


class SegmentsTest(unittest.TestCase):
    """Guards against streams that are forgotten as their host stops."""

    def test_host_exits_once_its_streams_are_written(self):
        host = streams.Driver(name="h0", peers=("h0", ), store=None)
        out = host.feed(record_events.StreamsToRecord("h1", (
            (origins.stream_key("hire", "r1"), "engines", "v2", 60_000), )))
        write, = support.effects_of(out, record_effects.WriteSegment)
        host.feed(events.StopAsked())
        while host.now < host.host.stop_at + 5.0:
            host.feed(events.Ticked(), 0.3)
            self.assertFalse(host.host.exited)
        host.feed(record_events.SegmentWritten(write.segment.name, 1))
        host.feed(events.Ticked(), 0.3)
        self.assertTrue(host.host.exited)

    def test_host_whose_streams_are_not_written_exits_in_time(self):
        host = streams.Driver(name="h0", peers=("h0", ), store=None)
        host.feed(record_events.StreamsToRecord("h1", (
            (origins.stream_key("hire", "r1"), "engines", "v2", 60_000), )))
        host.feed(events.StopAsked())
        while not host.host.exited:
            host.feed(events.Ticked(), 0.3)
        self.assertLess(host.now, host.host.stop_at + host.host.cfg.grace_s)


if __name__ == "__main__":
    unittest.main()
