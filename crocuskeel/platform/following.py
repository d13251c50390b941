"""Follows the store: configuration, backend servers, other hosts."""

import dataclasses
import typing

from crocuskeel.core.entry import changelog
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import registry
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects
from crocuskeel.platform import store as stores
from twisted.internet import defer
from twisted.internet import task

__all__ = ["Follower", "new_follower"]

CONFIG = "config"
CONFIG_NAME = "main"
SERVERS = "servers"
# This system's own kind of objects: its entry hosts.
HOSTS = "crocuskeel-hosts"
# Between the beginnings of calls to a store that fails, s: each call is
# billed, and configuration has to be in force within 2 s. The least also
# goes by between the end of one and the next.
RETRY_LEAST_S = 0.2
RETRY_MOST_S = 1.0
# A watch that the store took while it answered nothing stays open and is
# never answered; nothing but its end shows that. It waits this long at the
# most, s, and no longer than a configuration may take to be in force: with
# the time to notice and to ask again a host is back within 3 s.
WATCH_MOST_S = 1.75
# A watch while the store counts as lost, s: its answer shows that the store
# is back.
PROBE_S = 0.1
# A host that doesn't read the store looks this often whether it should, s.
ROLE_S = 0.3


@dataclasses.dataclass(slots=True)
class _Kind:
    """A kind of object that is followed.

    ``listed`` and ``changed`` take what the store answers. Everything up
    to ``revision`` is known; it is None until the list was read.
    ``heard_at`` is when the store last answered, by the runtime's clock.
    """

    name: str
    listed: typing.Callable
    changed: typing.Callable
    heard_at: float
    revision: int | None = None
    failures: int = 0
    asked_at: float = 0.0
    # The watch that is open, if any.
    watch: defer.Deferred | None = None
    # The next watch is the first one since the list was read, or since
    # a call failed.
    is_resuming: bool = True


class Follower:
    """Keeps the gateway's core told of what the store holds.

    ``raw_config`` and ``raw_servers`` hold the objects as read, and
    ``changes`` what changed in the list of servers, for hosts that ask.
    """

    def __init__(self, reactor, gateway, store):
        self.reactor = reactor
        self.gateway = gateway
        self.store = store
        self.kinds = []
        self.raw_config = None
        self.raw_servers = {}
        self.changes = changelog.Log()
        self.revision = 0
        self.begun = False

    def start(self):
        """Begin to follow; never ends."""
        registering = defer.Deferred.fromCoroutine(self._register())
        registering.addErrback(self._died)

    def _begin(self):
        """Follow the store, once it is known for how many hosts.

        In a large fleet most hosts need not read it at all.
        """
        if self.begun:
            return
        self.begun = True
        now = self.reactor.seconds()
        self.kinds = [
            _Kind(CONFIG, self._config_listed, self._config_changed, now),
            _Kind(SERVERS, self._servers_listed, self._servers_changed,
                  now)]
        for kind in self.kinds:
            self._run_follow(kind)

    def _run_follow(self, kind):
        following = defer.Deferred.fromCoroutine(self._follow(kind))
        following.addErrback(self._died)
        # It ends by an unforeseen error only.
        following.addCallback(lambda _: self._begin_anew(kind))

    def _begin_anew(self, kind):
        """Follow a kind from its list on, after a pause."""
        kind.revision = None
        self.reactor.callLater(RETRY_MOST_S, self._run_follow, kind)

    def _died(self, failure):
        self.gateway.log("follower_died", {
            "why": failure.getErrorMessage(),
            "where": failure.getBriefTraceback()})

    async def _follow(self, kind):
        reading = False
        while True:
            if reading != self._reads():
                reading = not reading
                self.gateway.log("reads_store", {
                    "kind": kind.name, "reads": reading})
            if not reading:
                kind.revision = None
                self.gateway.feed(events.StoreLeft())
                await task.deferLater(self.reactor, ROLE_S)
                continue
            kind.asked_at = self.reactor.seconds()
            try:
                if kind.revision is None:
                    await self._list(kind)
                else:
                    await self._watch(kind)
                kind.failures = 0
            except defer.CancelledError:
                # The store is back: this watch may be a dead one.
                continue
            except exceptions.StoreError as exc:
                self._failed(kind, exc)
                await self._pause(kind.failures, self._since(kind))

    async def _list(self, kind):
        listing = await self.store.list(kind.name)
        kind.revision = listing.revision
        kind.is_resuming = True
        self._heard(kind)
        kind.listed(listing)

    async def _watch(self, kind):
        span_s = self._span_s()
        if kind.is_resuming:
            kind.is_resuming = False
            self.gateway.log("watch_begun", {
                "kind": kind.name, "revision": kind.revision,
                "span_s": round(span_s, 3)})
        kind.watch = defer.Deferred.fromCoroutine(
            self.store.watch(kind.name, kind.revision, span_s))
        news = await kind.watch
        kind.revision = news.revision
        self._heard(kind)
        kind.changed(news)

    def _failed(self, kind, exc):
        kind.failures += 1
        kind.is_resuming = True
        self.gateway.log("store_call_failed", {
            "kind": kind.name, "why": str(exc), "status": exc.status,
            "revision": kind.revision, "failures": kind.failures,
            "after_s": round(self._since(kind), 3)})
        if exc.status == stores.GONE:
            # An answer all the same: the list is read after a short pause.
            kind.revision = None
            kind.failures = 1
            self._heard(kind)
        elif kind.failures > 1 or not exc.status:
            self._is_lost(str(exc))

    def _since(self, kind):
        """Return how long ago the last call of a kind was made, s."""
        return self.reactor.seconds() - kind.asked_at

    def unheard_s(self):
        """Return for how long the store gave no answer, s, by kind.

        A kind that this host doesn't read itself is left out.
        """
        if not self._reads():
            return {}
        now = self.reactor.seconds()
        return {kind.name: now - kind.heard_at for kind in self.kinds}

    def _reads(self):
        return fleet.reads_store(self.gateway.host,
                                 self.reactor.seconds())

    def _span_s(self):
        host = self.gateway.host
        if host.store_lost_at is not None:
            return PROBE_S
        return min(WATCH_MOST_S, host.cfg.apply_s)

    def _is_lost(self, why):
        self.gateway.feed(events.StoreLost(why))

    def _heard(self, kind):
        kind.heard_at = self.reactor.seconds()
        if self.gateway.host.store_lost_at is None:
            return
        self.gateway.feed(events.StoreBack())
        # A host that was cut off and healed may hold a watch on a
        # connection that is dead without showing it: what changes then
        # would be seen only when that watch should have ended.
        for other in self.kinds:
            if other is not kind and other.watch is not None:
                other.watch.cancel()

    def _pause(self, failures, waited_s=0.0):
        """Wait before the next call; ``waited_s`` went by in the last."""
        span = min(RETRY_MOST_S, RETRY_LEAST_S * 2 ** (failures - 1))
        span = max(RETRY_LEAST_S, span - waited_s)
        span *= 0.75 + 0.5 * self.gateway.host.rng.random()
        return task.deferLater(self.reactor, span)

    def _config_listed(self, listing):
        for obj in listing.items:
            self.take_config(obj)

    def _config_changed(self, news):
        for obj, removed in news.rows:
            if not removed:
                self.take_config(obj)

    def take_config(self, obj):
        """Put a configuration in force, from the store or a peer."""
        if self._name(obj) != CONFIG_NAME:
            return
        try:
            catalog = objects.catalog(obj)
        except exceptions.BadObject as exc:
            self.gateway.log("bad_object", {"why": str(exc)})
            return
        current = self.gateway.host.catalog
        if current is None or catalog.revision > current.revision:
            self.raw_config = obj
        self.gateway.feed(events.CatalogSeen(catalog))

    def _servers_listed(self, listing, lapsing=None):
        former, self.raw_servers = self.raw_servers, {}
        servers, unreadable = self._decode_servers(listing.items)
        self.revision = listing.revision
        changelog.note_whole(self.changes, former, self.raw_servers,
                             self.revision)
        self.gateway.feed(events.ServersListed(
            servers, listing.revision, lapsing, unreadable))

    def _servers_changed(self, news):
        if not news.rows:
            # A watch that ends shows the store's revision, which each
            # write to it moves on: told to others, it had all of them
            # fetch a list that they had.
            return
        # The last row of an id counts: it may leave and come back.
        latest = {self._name(obj): (obj, gone) for obj, gone in news.rows}
        latest.pop(None, None)
        self._take_changes(
            [obj for obj, gone in latest.values() if not gone],
            tuple(sid for sid, (_, gone) in latest.items() if gone),
            news.revision, None)

    def _take_changes(self, items, removed, revision, lapsing):
        for sid in removed:
            self.raw_servers.pop(sid, None)
        changed, unreadable = self._decode_servers(items)
        self.revision = revision
        changelog.note(self.changes, [server.sid for server in changed],
                       (*removed, *unreadable), revision)
        self.gateway.feed(events.ServersChanged(
            changed, removed, revision, unreadable, lapsing))

    def _name(self, obj):
        try:
            return objects.name(obj)
        except exceptions.BadObject as exc:
            self.gateway.log("bad_object", {"why": str(exc)})
            return None

    def _decode_servers(self, items):
        """Return the servers, and the ids whose entries name none."""
        servers = []
        unreadable = []
        for obj in items:
            try:
                servers.append(objects.server(obj))
                self.raw_servers[objects.name(obj)] = obj
            except exceptions.BadObject as exc:
                self.gateway.log("bad_object", {"why": str(exc)})
                sid = self._name(obj)
                self.raw_servers.pop(sid, None)
                unreadable += [sid] if sid else []
        return tuple(servers), tuple(unreadable)

    async def _register(self):
        """Register this host, then learn of the others, once."""
        me = self.gateway.host.me
        failures = 0
        while True:
            try:
                await self.store.put(HOSTS, me.name,
                                     objects.peer_spec(me))
                listing = await self.store.list(HOSTS)
                break
            except exceptions.StoreError as exc:
                failures += 1
                self.gateway.log("not_registered", {"why": str(exc)})
                # The store may turn away writes only.
                self._begin()
                await self._pause(failures)
        self.gateway.feed(events.PeersSeen(tuple(
            peer for peer in map(self._peer, listing.items) if peer)))
        self._begin()

    def _peer(self, obj):
        try:
            return objects.peer(obj)
        except exceptions.BadObject as exc:
            self.gateway.log("bad_object", {"why": str(exc)})
            return None

    def state(self):
        """Return what tells one state of what is known from another."""
        config = self.raw_config
        lapsing = tuple(self.gateway.host.lapsing)
        return (config and config["Meta"]["Rev"], self.revision, lapsing)

    def snapshot(self, config_revision, servers_revision=0):
        """Return what a host lacks that has these revisions, or None.

        Of the list of servers it gets the changes since its revision
        ("since" names it), or the whole if these aren't known here.
        """
        if self.raw_config is None:
            return None
        config = self.raw_config
        if config["Meta"]["Rev"] <= config_revision:
            config = None
        found = {"config": config,
                 "lapsing": registry.lapsing(
                     self.gateway.host, self.reactor.seconds()),
                 "revision": self.revision}
        changes = changelog.since(self.changes, servers_revision)
        if changes is None:
            return {**found, "servers": list(self.raw_servers.values())}
        return {**found, "since": servers_revision,
                "servers": [self.raw_servers[sid]
                            for sid in changes.changed],
                "removed": changes.removed}

    def take_snapshot(self, snapshot):
        """Take another host's snapshot."""
        if snapshot["config"] is not None:
            self.take_config(snapshot["config"])
        if snapshot["revision"] <= self.revision:
            return
        lapsing = tuple(map(tuple, snapshot.get("lapsing", ())))
        since = snapshot.get("since")
        if since is None:
            self._servers_listed(stores.Listing(
                tuple(snapshot["servers"]), snapshot["revision"]), lapsing)
        elif since <= self.revision:
            self._take_changes(
                snapshot["servers"], tuple(snapshot["removed"]),
                snapshot["revision"], lapsing)


def new_follower(reactor, gateway, store):
    """Return a follower that has not begun."""
    return Follower(reactor, gateway, store)
