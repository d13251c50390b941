"""What a host that has just started knows of versions that served."""

import unittest

from crocuskeel.core.entry import events
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import record_events
from crocuskeel.core.entry import version_history
from crocuskeel.core.entry import version_records
from crocuskeel.core import revisions
from tests.entry import record_store
from tests.entry import streams
from tests.entry import support
from tests.entry import versions


class JustStartedTest(unittest.TestCase):
    """What a host that has just started takes for all that served."""

    def test_list_of_servers_alone_is_no_proof(self):
        # Guards against streams that go on at the only version that serves,
        # though they began at one that left while no host ran.
        away = record_store.RecordStore()
        away.is_away = True
        for store in (versions.known("v1", is_complete=False), away,
                      record_store.RecordStore(former_hosts=True)):
            with self.subTest(store.records):
                self.assertTrue(versions.refused(versions.start(store)))

    def test_complete_record_of_one_version_is_proof(self):
        self.assertFalse(
            versions.refused(
                versions.start(
                    versions.known("v1"))))

    def test_store_without_any_record_is_proof(self):
        self.assertFalse(
            versions.refused(
                versions.start(
                    record_store.RecordStore())))

    def test_store_without_any_record_that_was_restored_is_no_proof(self):
        # Guards against streams that go on at the only version that serves:
        # the store came back from a copy of before the first record.
        for era, expected in ((0, True), (1, True), (2, False)):
            with self.subTest(era=era):
                host = support.Driver(streams.STREAM, name="h0")
                host.feed(events.ServersListed(
                    tuple(streams.engines(2, 0)), revisions.combine(era, 5)))
                out = host.feed(record_events.VersionsRead(()))
                self.assertFalse(versions.is_complete(host))
                (call, ) = support.effects_of(
                    out, record_effects.WriteVersions)
                self.assertEqual(expected, call.record.is_complete)
                host.feed(record_events.VersionsWritten(
                    call.record.service, revisions.combine(era, 6)))
                self.assertEqual(expected, versions.is_complete(host))

    def test_service_without_a_record_where_others_have_one(self):
        # Guards against a service whose record was never written, as the
        # store's quota was full or all hosts were killed.
        store = record_store.RecordStore(
            (versions.record("v1", service="others"), ))
        self.assertTrue(versions.refused(versions.start(store)))

    def test_version_that_left_while_no_host_ran_counts_for_a_life(self):
        host = versions.start(versions.known("v1", "v2"), 0, 2)
        self.assertTrue(versions.refused(host))
        versions.run(host, versions.LIFE_S - 2.0)
        self.assertEqual({"v1", "v2"}, origins.versions_of(
            host.host, "engines", host.now))
        versions.run(host, 3.0)
        self.assertFalse(versions.refused(host))

    def test_records_are_read_after_the_list_of_servers(self):
        # Guards against a version that joins and leaves in between, which is
        # in neither.
        store = versions.known("v1")
        host = support.Driver(streams.STREAM, name="h0")
        self.assertEqual([], version_records.ensure(host.host, host.now))
        out = host.feed(events.ServersListed(tuple(streams.engines(2, 0)), 5))
        self.assertEqual(1, len(support.effects_of(
            out, record_effects.ReadVersions)))
        self.assertEqual([], store.calls)

    def test_own_list_is_proof_after_the_longest_life(self):
        store = versions.known("v1", is_complete=False)
        host = versions.start(store)
        versions.run(host, origins.MAX_LIFE_S - 1.0)
        self.assertFalse(versions.is_complete(host))
        versions.run(host, 2.0)
        self.assertTrue(versions.is_complete(host))
        self.assertTrue(store.records["engines"].is_complete)

    def test_all_records_are_needed_to_tell_other_hosts(self):
        host = versions.start(versions.known("v1"))
        self.assertTrue(version_history.knows_all(host.host, host.now))
        store = record_store.RecordStore((
            versions.record("v1"), versions.record(
                "v1", service="others", is_complete=False)))
        host = versions.start(store, name=versions.SECOND, peers=())
        self.assertTrue(versions.is_complete(host))
        self.assertFalse(version_history.knows_all(host.host, host.now))

    def test_read_that_fails_is_repeated_ever_later(self):
        # Guards against calls at a rate, each of which is priced, while the
        # store is away.
        store = versions.known("v1")
        store.is_away = True
        host = versions.start(store)
        versions.run(host, 20.0)
        self.assertLess(len(store.calls_of(record_effects.ReadVersions)), 16)
        self.assertFalse(versions.is_complete(host))
        store.is_away = False
        versions.run(host, version_history.MAX_RETRY_S)
        self.assertTrue(versions.is_complete(host))


class MissedTest(unittest.TestCase):
    """Hosts that missed changes of the list."""

    def list(self, host, revision=9, lapsing=None):
        host.feed(events.ServersListed(
            tuple(streams.engines(2, 0)), revision, lapsing))

    def test_records_are_read_again_after_changes_were_missed(self):
        # Guards against a version that came and went while this host was cut
        # off from the store.
        host = streams.Driver(2, 0, name=versions.SECOND)
        host.now += 70.0
        host.store.records["engines"] = versions.record("v1", "v3", revision=9)
        self.list(host)
        self.assertEqual({"v1", "v3"}, origins.versions_of(
            host.host, "engines", host.now))
        self.assertTrue(versions.is_complete(host))

    def test_nothing_is_concluded_until_they_are_read(self):
        host = streams.Driver(2, 0, name=versions.SECOND)
        host.now += 70.0
        host.store.is_away = True
        self.list(host)
        self.assertFalse(versions.is_complete(host))

    def test_read_that_began_before_does_not_count(self):
        host = streams.Driver(2, 0, name=versions.FIRST, store=None)
        self.list(host)
        out = host.feed(record_events.VersionsRead((
            versions.record("v1"), versions.record(service="others"))))
        self.assertFalse(versions.is_complete(host))
        self.assertEqual(1, len(support.effects_of(
            out, record_effects.ReadVersions)))

    def test_full_list_of_another_host_is_no_sign_of_missed_changes(self):
        # Guards against all hosts of a small fleet that forget what they know
        # each time that one starts: its list has a higher revision.
        host = streams.Driver(2, 0, name=versions.SECOND)
        host.now += 70.0
        host.store.is_away = True
        self.list(host, lapsing=())
        self.assertTrue(versions.is_complete(host))

    def test_full_list_of_another_host_while_the_store_is_away(self):
        host = streams.Driver(2, 0, name=versions.SECOND)
        host.now += 70.0
        host.feed(events.StoreUnavailable("reset"))
        host.store.is_away = True
        self.list(host, lapsing=())
        self.assertFalse(versions.is_complete(host))


class RestoredTest(unittest.TestCase):
    """The store comes back from an older copy."""

    def test_living_host_keeps_its_knowledge_and_writes_it_again(self):
        host = streams.Driver(2, 0, name=versions.FIRST)
        self.assertTrue(versions.is_complete(host))
        host.store.records["engines"] = versions.record(
            "v0", is_complete=False, revision=revisions.combine(1, 3))
        host.feed(events.StoreEraSeen(1))
        versions.run(host, 1.0)
        self.assertTrue(versions.is_complete(host))
        self.assertTrue(host.store.records["engines"].is_complete)
        # The copy may be right about a version that this host never saw.
        self.assertEqual({"v0", "v1"}, versions.names(host.store))
        versions.run(host, versions.LIFE_S + 1.0)
        self.assertEqual({"v1"}, versions.names(host.store))

    def test_host_that_has_just_started_does_not_trust_the_copy(self):
        host = versions.start(versions.known("v1", is_complete=False))
        host.feed(events.StoreEraSeen(1))
        versions.run(host, 1.0)
        self.assertTrue(versions.refused(host))

    def test_list_of_the_copy_is_no_sign_of_missed_changes(self):
        host = streams.Driver(2, 0, name=versions.FIRST)
        host.store.is_away = True
        host.feed(events.ServersListed(
            tuple(streams.engines(2, 0)), revisions.combine(1, 3)))
        self.assertTrue(versions.is_complete(host))

    def test_first_era_is_no_restore(self):
        host = support.Driver(streams.STREAM, name=versions.FIRST)
        self.assertEqual([], support.effects_of(
            host.feed(events.StoreEraSeen(1)), record_effects.ReadVersions))


class OtherHostsTest(unittest.TestCase):
    """What a host takes over from others, which know by themselves."""

    def away(self, **kwargs):
        store = versions.known("v1")
        store.is_away = True
        return versions.start(store, **kwargs)

    def test_word_of_a_host_that_knows(self):
        host = self.away()
        for revision in (5, 6):
            host.feed(versions.state(revision=revision, knows_versions=True))
            self.assertTrue(versions.is_complete(host))

    def test_word_of_a_host_with_an_older_list(self):
        # Guards against a version that has joined and left since.
        host = self.away()
        host.feed(versions.state(revision=4, knows_versions=True))
        self.assertFalse(versions.is_complete(host))

    def test_word_of_a_host_that_does_not_know(self):
        host = self.away()
        for fields in ({}, {"former_versions": None}):
            host.feed(versions.state(**fields))
            self.assertFalse(versions.is_complete(host))

    def test_word_before_this_host_has_a_list(self):
        host = support.Driver(streams.STREAM, name=versions.FIRST)
        host.feed(versions.state(revision=0, knows_versions=True))
        host.feed(events.ServersListed(tuple(streams.engines(2, 0)), 5))
        self.assertFalse(version_history.is_complete(
            host.host, "engines", host.now))

    def test_versions_that_the_other_host_has_from_the_store(self):
        # Guards against a host that knows only by the record, and whose word
        # is taken for less than what it says.
        host = self.away()
        host.feed(versions.state(knows_versions=True, recorded_versions=(
            ("engines", "v0", 4_000), )))
        self.assertTrue(versions.refused(host))
        versions.run(host, 5.0, *streams.NAMES)
        self.assertFalse(versions.refused(host))

    def test_host_that_starts_does_not_renew_versions_at_others(self):
        # Guards against a version that is never forgotten, as hosts read of
        # it and tell each other.
        host = versions.start(versions.known("v0", "v1"), name=versions.SECOND)
        self.assertEqual((), origins.former_rows(host.host, host.now))
        (row, ) = origins.recorded_rows(host.host, host.now)
        self.assertEqual(("engines", "v0"), row[:2])
        lived = streams.Driver(2, 0, name=versions.FIRST)
        lived.feed(
            versions.state(
                knows_versions=True,
                recorded_versions=(
                    row,
                )))
        self.assertEqual({"v1"}, origins.versions_of(
            lived.host, "engines", lived.now))

    def test_host_that_knows_when_a_version_left_is_believed(self):
        host = versions.start(versions.known("v0", "v1"), name=versions.SECOND)
        host.feed(
            versions.state(
                versions.FIRST,
                revision=4,
                knows_versions=True))
        self.assertEqual({"v0", "v1"}, origins.versions_of(
            host.host, "engines", host.now))
        host.feed(versions.state(
            versions.FIRST, knows_versions=True, former_versions=(
                ("engines", "v0", 2_000), )))
        self.assertEqual({"v0", "v1"}, origins.versions_of(
            host.host, "engines", host.now))
        versions.run(host, 2.0)
        self.assertEqual({"v1"}, origins.versions_of(
            host.host, "engines", host.now))

    def test_newer_list_does_not_end_what_the_store_names(self):
        # Guards against a version that serves by the other host's list, and
        # that this host's doesn't have yet.
        host = versions.start(versions.known("v0", "v1"))
        host.feed(versions.state(revision=6, knows_versions=True))
        self.assertEqual({"v0", "v1"}, origins.versions_of(
            host.host, "engines", host.now))

    def test_versions_of_servers_whose_entries_lapsed_are_sent(self):
        # Guards against a host whose list doesn't have them, and that takes
        # the others for all, as a host that keeps them knows all versions.
        host = versions.start(versions.known("v1"))
        host.feed(events.StoreUnavailable("reset"))
        host.feed(events.StoreAvailable())
        host.feed(events.ServersChanged(
            (support.server("b0", "engines", version="v2"), ),
            ("a0", "a1"), 6))
        self.assertEqual(["a0", "a1"], sorted(host.host.lapsing))
        self.assertEqual({"v1"}, {
            version for _, version, _ in origins.recorded_rows(
                host.host, host.now)})

    def test_versions_of_services_that_are_not_configured_are_not_sent(self):
        # Guards against datagrams full of what other programs have written.
        store = versions.known("v0", "v1")
        store.records["foreign"] = versions.record(
            *map(str, range(200)), service="foreign")
        host = versions.start(store)
        self.assertEqual({"engines"}, {
            service for service, *_ in origins.recorded_rows(
                host.host, host.now)})

    def test_versions_that_the_store_names_are_forgotten(self):
        host = versions.start(versions.known("v0", "v1"))
        self.assertIn("engines", host.host.streams.recorded)
        versions.run(host, versions.LIFE_S + 1.0)
        self.assertEqual({}, host.host.streams.recorded)

    def test_reading_again_does_not_renew_a_version(self):
        store = versions.known("v0", "v1")
        host = versions.start(store, name=versions.SECOND)
        for number in range(int(versions.LIFE_S)):
            store.records["others"] = versions.record(
                "v1", service="others", revision=number + 2)
            host.feed(events.ServersChanged((support.server(
                f"o{number}", "others", version=f"w{number}"), ), (),
                6 + number))
            versions.run(host, 1.1, *streams.NAMES)
        self.assertEqual({"v1"}, origins.versions_of(
            host.host, "engines", host.now))

    def test_version_is_forgotten_although_hosts_restart_now_and_then(self):
        # Guards against streams that are refused for ever.
        store = versions.known("v0", "v1")
        ages = {
            versions.FIRST: 0.0,
            versions.SECOND: 6.0,
            versions.THIRD: 12.0}
        hosts = {name: versions.start(store, name=name) for name in ages}
        now = 100.0
        for step in range(600):
            now += 0.1
            for name in ages:
                ages[name] += 0.1
                if ages[name] > 18.0:
                    ages[name] = 0.0
                    hosts[name] = versions.start(store, name=name, now=now)
                host = hosts[name]
                if step % 3 == 0:
                    sent = host.feed(events.Ticked(), max(
                        0.0, now - host.now))
                    for effect in streams.messages(
                            sent, events.PeerStateReceived):
                        other = hosts[effect.peer.name]
                        other.feed(effect.event, max(0.0, now - other.now))
        self.assertEqual({"v1"}, versions.names(store))


if __name__ == "__main__":
    unittest.main()
