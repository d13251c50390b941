"""Records of streams and versions as all hosts stop."""

import unittest

from crocuskeel.core.entry import events
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


if __name__ == "__main__":
    unittest.main()
