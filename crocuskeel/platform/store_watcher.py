"""Watches the store: configuration, backend servers, other hosts."""

from crocuskeel.core.entry import changelog
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import registry
from crocuskeel.core import revisions
from crocuskeel.platform import catalogs
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects
from crocuskeel.platform import snapshots
from crocuskeel.platform import store as stores
from crocuskeel.platform import watched_kind
from twisted.internet import defer
from twisted.internet import task

__all__ = ["StoreWatcher", "new_watcher"]

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVER_KIND = "servers"
# A kind of our own: the entry hosts.
HOST_KIND = "crocuskeel-hosts"
# Delays between the starts of calls to a store that fails, s: each call is
# billed, and configuration has to be in force within 2 s. The minimum delay
# also separates the end of a call from the start of the next.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
# Longest time that a watch waits, s; it waits no longer than a configuration
# may take to be in force. A watch that the store accepted while it answered
# nothing stays open and is never answered; only its timeout shows that. With
# the time to detect this and to ask again a host recovers within 3 s.
WATCH_MAX_S = 1.75
# Wait of a watch after a failure, s: its answer shows that the store is back.
PROBE_WATCH_S = 0.1
# How often a host that doesn't read the store checks whether it should, s.
ROLE_CHECK_INTERVAL_S = 0.3
# After a restore of the store hosts register again within this time, s, for
# each host of the fleet: a large one stays below the store's write rate.
REGISTRATION_SPREAD_S = 0.01


class StoreWatcher:
    """Passes the store's content and its changes to the gateway's core.

    ``raw_config`` and ``raw_servers`` hold the objects as read, and
    ``changes`` the log of changes of the servers, for other hosts' requests.
    """

    def __init__(self, reactor, gateway, store):
        self.reactor = reactor
        self.gateway = gateway
        self.store = store
        self.kinds = []
        self.raw_config = None
        self.raw_servers = {}
        self.changes = changelog.ChangeLog()
        self.revision = 0
        self.started = False

    def start(self):
        """Register this host and start to watch; runs until the end."""
        registration = defer.Deferred.fromCoroutine(self._register())
        registration.addErrback(self._registration_crashed)

    def _registration_crashed(self, failure):
        """Watch the store all the same, and register again later."""
        self._log_crash(failure)
        self._start_watching()
        self.reactor.callLater(RETRY_MAX_S, self.start)

    def _start_watching(self):
        """Start to watch, once the number of hosts is known.

        In a large fleet most hosts don't read the store at all.
        """
        if self.started:
            return
        self.started = True
        now = self.reactor.seconds()
        self.kinds = [
            watched_kind.WatchedKind(
                CONFIG_KIND, self._on_config_list, self._on_config_change,
                now, self._configuration),
            watched_kind.WatchedKind(
                SERVER_KIND, self._on_server_list, self._on_server_change,
                now, objects.trimmed_server)]
        for kind in self.kinds:
            self._run_kind(kind)

    def _run_kind(self, kind):
        run = defer.Deferred.fromCoroutine(self._watch_kind(kind))
        run.addErrback(self._log_crash)
        # The coroutine ends only through an unexpected error.
        run.addCallback(lambda _: self._restart_kind(kind))

    def _restart_kind(self, kind):
        """List and watch a kind again, after a delay."""
        kind.revision = None
        self.reactor.callLater(RETRY_MAX_S, self._run_kind, kind)

    def _log_crash(self, failure):
        self.gateway.log("follower_died", {
            "why": failure.getErrorMessage(),
            "where": failure.getBriefTraceback()})

    async def _watch_kind(self, kind):
        reading = False
        while True:
            if reading != self._reads_store():
                reading = not reading
                self.gateway.log("reads_store", {
                    "kind": kind.name, "reads": reading})
            if not reading:
                kind.revision = None
                self.gateway.feed(events.StoreReadingStopped())
                await task.deferLater(self.reactor, ROLE_CHECK_INTERVAL_S)
                continue
            kind.called_at = self.reactor.seconds()
            try:
                if kind.revision is None:
                    await self._list(kind)
                else:
                    await self._watch(kind)
                kind.failures = 0
            except defer.CancelledError:
                # The store is back: the connection of this watch may be dead.
                continue
            except exceptions.StoreError as exc:
                self._call_failed(kind, exc)
                await self._back_off(kind.failures, self._elapsed_s(kind))

    async def _list(self, kind):
        listing = await self.store.list(kind.name, kind.keep)
        kind.revision = listing.revision
        kind.is_resuming = True
        self._store_answered(kind)
        kind.on_list(listing)

    async def _watch(self, kind):
        span_s = self._watch_span_s(kind)
        if kind.is_resuming:
            kind.is_resuming = False
            self.gateway.log("watch_begun", {
                "kind": kind.name, "era": revisions.era(kind.revision),
                "revision": revisions.number(kind.revision),
                "span_s": round(span_s, 3)})
        kind.watch = defer.Deferred.fromCoroutine(
            self.store.watch(kind.name, kind.revision, span_s))
        update = await kind.watch
        kind.revision = update.revision
        self._store_answered(kind)
        kind.on_change(update)

    def _call_failed(self, kind, exc):
        kind.failures += 1
        kind.is_resuming = True
        self.gateway.log("store_call_failed", {
            "kind": kind.name, "why": str(exc), "status": exc.status,
            "revision": kind.revision and revisions.number(kind.revision),
            "failures": kind.failures,
            "after_s": round(self._elapsed_s(kind), 3)})
        if exc.status == stores.GONE:
            # The store did answer: the list is read after a short delay.
            kind.revision = None
            kind.failures = 1
            self._store_answered(kind)
        elif kind.failures > 1 or not (exc.status or exc.cut):
            # The store may cut off a watch. The next call shows if it answers.
            self._report_lost(str(exc))

    def store_restored(self):
        """List everything again: the store came back from an older copy.

        A watch that is open, or continues from a revision of the former era,
        misses changes without an error if the store has that number again.
        """
        self.gateway.log("store_restored", {"era": self.store.era, "watched": {
            kind.name: kind.revision and revisions.number(kind.revision)
            for kind in self.kinds}})
        self.gateway.feed(events.StoreEraSeen(self.store.era))
        if self.started:
            # The copy may lack this host's entry, or that of a new host.
            host = self.gateway.host
            spread_s = REGISTRATION_SPREAD_S * (1 + len(host.peers))
            self.reactor.callLater(spread_s * host.rng.random(), self.start)
        for kind in self.kinds:
            kind.revision = None
            if kind.watch is not None:
                kind.watch.cancel()

    def _elapsed_s(self, kind):
        """Return the time since the last call for a kind began, s."""
        return self.reactor.seconds() - kind.called_at

    def last_answer_age_s(self):
        """Return the time since the store last answered, s, by kind.

        Empty while this host doesn't read the store itself.
        """
        if not self._reads_store():
            return {}
        now = self.reactor.seconds()
        return {kind.name: now - kind.answered_at for kind in self.kinds}

    def _reads_store(self):
        return fleet.reads_store(self.gateway.host,
                                 self.reactor.seconds())

    def _watch_span_s(self, kind):
        host = self.gateway.host
        if host.store_down_since is not None or kind.failures:
            return PROBE_WATCH_S
        return min(WATCH_MAX_S, host.cfg.config_apply_s)

    def _report_lost(self, why):
        self.gateway.feed(events.StoreUnavailable(why))

    def _store_answered(self, kind):
        kind.answered_at = self.reactor.seconds()
        if self.gateway.host.store_down_since is None:
            return
        self.gateway.feed(events.StoreAvailable())
        # After a network partition the other watch may wait on a dead
        # connection: changes would be seen only after its timeout.
        for other in self.kinds:
            if other is not kind and other.watch is not None:
                other.watch.cancel()

    def _back_off(self, failures, waited_s=0.0):
        """Wait before the next call; the last one took ``waited_s``."""
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** (failures - 1))
        delay_s = max(RETRY_MIN_S, delay_s - waited_s)
        delay_s *= 0.75 + 0.5 * self.gateway.host.rng.random()
        return task.deferLater(self.reactor, delay_s)

    def _configuration(self, obj):
        return obj if self._object_name(obj) == CONFIG_NAME else None

    def _on_config_list(self, listing):
        for obj in listing.items:
            self.apply_config(obj)

    def _on_config_change(self, update):
        for obj, removed in update.rows:
            if not removed:
                self.apply_config(obj)

    def apply_config(self, obj):
        """Apply a configuration from the store or a peer."""
        if self._object_name(obj) != CONFIG_NAME:
            return
        try:
            catalog = catalogs.catalog(obj)
        except exceptions.InvalidObjectError as exc:
            self.gateway.log("bad_object", {"why": str(exc)})
            return
        if registry.is_newer_catalog(self.gateway.host, catalog):
            self.raw_config = obj
        self.gateway.feed(events.CatalogRead(catalog))

    def _on_server_list(self, listing, lapsing=None):
        previous, self.raw_servers = self.raw_servers, {}
        servers, unreadable = self._decode_servers(listing.items)
        self.revision = listing.revision
        changelog.record_full_list(self.changes, previous, self.raw_servers,
                                   self.revision)
        self.gateway.feed(events.ServersListed(
            servers, listing.revision, lapsing, unreadable))

    def _on_server_change(self, update):
        if not update.rows:
            # A watch that times out returns the store's current revision,
            # which grows with each write of any kind. If it were announced,
            # other hosts would fetch a list that they already have.
            return
        # Only the last row of an id counts: a server may be removed and
        # added again.
        latest = {self._object_name(obj): (obj, is_removed)
                  for obj, is_removed in update.rows}
        latest.pop(None, None)
        self._apply_changes(
            [obj for obj, is_removed in latest.values() if not is_removed],
            tuple(sid for sid, (_, is_removed) in latest.items()
                  if is_removed),
            update.revision, None)

    def _apply_changes(self, items, removed, revision, lapsing):
        for sid in removed:
            self.raw_servers.pop(sid, None)
        changed, unreadable = self._decode_servers(items)
        self.revision = revision
        changelog.record_changes(self.changes,
                                 [server.sid for server in changed],
                                 (*removed, *unreadable), revision)
        self.gateway.feed(events.ServersChanged(
            changed, removed, revision, unreadable, lapsing))

    def _object_name(self, obj):
        return self._decoded(objects.name, obj)

    def _decoded(self, decode, obj):
        """Return ``decode(obj)``, or None with a log line if it is invalid."""
        try:
            return decode(obj)
        except exceptions.InvalidObjectError as exc:
            self.gateway.log("bad_object", {"why": str(exc)})
            return None

    def _decode_servers(self, items):
        """Return the servers, and the ids of entries that are invalid."""
        servers = []
        unreadable = []
        for obj in items:
            try:
                server = objects.server(obj)
                self.raw_servers[server.sid] = objects.server_record(obj)
                servers.append(server)
            except exceptions.InvalidObjectError as exc:
                self.gateway.log("bad_object", {"why": str(exc)})
                sid = self._object_name(obj)
                self.raw_servers.pop(sid, None)
                unreadable += [sid] if sid else []
        return tuple(servers), tuple(unreadable)

    async def _register(self):
        """Register this host, then read the list of hosts once."""
        own_peer = self.gateway.host.self_peer
        failures = 0
        while True:
            try:
                await self.store.put(HOST_KIND, own_peer.name,
                                     objects.peer_spec(own_peer))
                listing = await self.store.list(
                    HOST_KIND, lambda obj: self._decoded(objects.peer, obj))
                break
            except exceptions.StoreError as exc:
                failures += 1
                self.gateway.log("not_registered", {"why": str(exc)})
                # The store may reject writes only.
                self._start_watching()
                await self._back_off(failures)
        self.gateway.feed(events.PeersListed(listing.items))
        self._start_watching()

    def state(self):
        """Return a value that changes whenever a snapshot would."""
        catalog = self.gateway.host.catalog
        lapsing = tuple(self.gateway.host.lapsing)
        return (catalog and catalog.version, self.revision, lapsing)

    def snapshot(self, *known):
        """Return the changes for another host, or None; see snapshots."""
        return snapshots.make(self, *known)

    def apply_snapshot(self, snapshot):
        """Apply another host's snapshot."""
        if snapshot["config"] is not None:
            self.apply_config(snapshot["config"])
        self.store.note_era(snapshot.get("era", 0))
        revision, since = snapshots.revisions_of(snapshot, self.revision)
        if revision <= self.revision:
            return
        lapsing = tuple(map(tuple, snapshot.get("lapsing", ())))
        if since is None:
            self._on_server_list(stores.Listing(
                tuple(snapshot["servers"]), revision), lapsing)
        elif since <= self.revision:
            self._apply_changes(
                snapshot["servers"], tuple(snapshot["removed"]),
                revision, lapsing)


def new_watcher(reactor, gateway, store):
    """Return a watcher that has not started."""
    watcher = StoreWatcher(reactor, gateway, store)
    store.on_restored = watcher.store_restored
    return watcher
