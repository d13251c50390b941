"""An in-memory fleet: real routes and command, fake store and clock."""

import io
import random
import urllib.parse

from crocuskeel import conf
from crocuskeel.conf import batches
from crocuskeel.conf import storage
from crocuskeel.conf import tree as trees
from crocuskeel.core import backends
from crocuskeel.core import dispatch
from crocuskeel.core import follower
from crocuskeel.core import frontend
from crocuskeel.core import membership
from crocuskeel.core.membership import state as member_state
from crocuskeel.core import quarantine
from crocuskeel.core import state
from crocuskeel import ctl
from crocuskeel import objectapi
from crocuskeel import ops
import klein
from tests.conf import samples
from treq import testing
from twisted.internet import defer
from twisted.internet import task

POLL_INTERVAL_S = 0.25
MAX_POLLS = 400
OPERATOR, READER, CALLER = "operator", "reader", "w0-token"
DOCUMENT = samples.document()
DOCUMENT["workspaces"]["ops"] = {"tokens": [
    {"caller": "kylie", "sha256": samples.sha256(OPERATOR),
     "roles": ["read", "change"]},
    {"caller": "screen", "sha256": samples.sha256(READER),
     "roles": ["read"]}]}


class Store:
    """A fake Object API.

    The responses of the next ``lost_responses`` head writes are lost.
    """

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.lost_responses = 0
        self.down = False

    def get(self, path):
        """Read an object."""
        if self.down:
            return defer.succeed(objectapi.Unavailable("not_sent"))
        if path not in self.objects:
            return defer.succeed(objectapi.NotFound())
        return defer.succeed(objectapi.Found(*self.objects[path]))

    def create(self, path, body):
        """Write an object that must not exist yet."""
        return self._write(path, body, path not in self.objects)

    def put(self, path, body, version):
        """Replace an object that still has that version."""
        stored_version, _body = self.objects.get(path, (None, b""))
        return self._write(path, body, stored_version == version)

    def _write(self, path, body, allowed):
        if not allowed:
            return defer.succeed(objectapi.Conflict())
        self.version += 1
        self.objects[path] = (self.version, body)
        if path == storage.HEAD_KEY and self.lost_responses:
            self.lost_responses -= 1
            return defer.succeed(objectapi.WriteUnknown("lost"))
        return defer.succeed(objectapi.Written(self.version))

    def head(self):
        """Return the stored head."""
        return storage.decode_head(self.objects[storage.HEAD_KEY][1])


def _new_daemon(host, number):
    me = state.Identity("test", host, "a", "r", f"10.0.0.{number}", 1,
                        8100, 1)
    return state.Daemon(
        identity=me, limits=state.Limits(), rng=random.Random(1),
        follower=follower.new_state(), membership=membership.new_state(me),
        backends=backends.new_state(), quarantine=quarantine.new_state(),
        dispatch=dispatch.new_state(), frontend=frontend.new_state(),
        claims=None)


class Fleet:
    """Hosts h1, h2 ...; hosts in ``stuck`` adopt no new settings."""

    def __init__(self, count=3):
        self.clock = task.Clock()
        self.store = Store()
        self.files = {}
        self.stuck = set()
        self.down = set()
        self.lost_response_hosts = set()
        self.fed_events = []
        self.rings = {f"h{number}": [] for number in range(1, count + 1)}
        self.daemons = {host: _new_daemon(host, number) for number, host
                        in enumerate(self.rings, start=1)}
        self._web_clients = {host: self._serve(host) for host in self.daemons}
        self._connect_members()
        self._store_initial_settings()

    def _connect_members(self):
        for daemon in self.daemons.values():
            members = daemon.membership
            for host, other in self.daemons.items():
                if host != daemon.identity.host:
                    members.members[host] = member_state.Member(
                        other.membership.own_update)
            member_state.invalidate_caches(members)

    def _store_initial_settings(self):
        batch = batches.new_batch("init", 0.0, 0, [
            batches.Edit((name,), value)
            for name, value in DOCUMENT.items() if name != "workspaces"
        ] + [batches.Edit(("workspaces", name), body)
             for name, body in DOCUMENT["workspaces"].items()])
        done = defer.ensureDeferred(ops.run_commit(
            self.clock, self.store, batch, trees.empty_tree(),
            resent=False))
        assert done.result.generation == 1
        self.adopt_settings()

    def adopt_settings(self):
        """Let every host that is not in ``stuck`` adopt the newest head."""
        head = self.store.head()
        for host in set(self.daemons) - self.stuck:
            state = self.daemons[host].follower
            for recent in head.recent_batches:
                tree = state.tree or trees.empty_tree()
                blob = self.store.objects[
                    storage.part_key(recent.delta_digest)][1]
                part = conf.Part(recent.delta_digest, blob)
                if recent.generation == tree.generation + 1:
                    state.tree = storage.apply_delta(
                        tree, storage.decode_delta(part)).unwrap()
                    state.deltas[recent.delta_digest] = part
            state.encoded_head = storage.encode_head(head)
            state.newest_known_generation = state.tree.generation

    def _serve(self, host):
        app = klein.Klein()
        ops.register(app, ops.Runtime(
            reactor=self.clock, daemon=self.daemons[host],
            ring=lambda: self.rings[host],
            feed=lambda event: self.fed_events.append((host, event)),
            record=lambda record: None, platform=lambda: self.store))
        return testing.StubTreq(app.resource())

    def send(self, method, url, headers, data, timeout):
        """Pass the command's requests directly to the routes."""
        return defer.ensureDeferred(
            self._send(method, url, headers, data))

    async def _send(self, method, url, headers, data):
        address = urllib.parse.urlsplit(url).hostname
        host = f"h{address.rpartition('.')[2]}"
        if host in self.down:
            raise objectapi.NotSent("refused")
        web_client = self._web_clients[host]
        deferred = web_client.request(method, url, headers=headers, data=data)
        web_client.flush()
        response = await deferred
        body = await response.content()
        if host not in self.stuck and method == "POST":
            self.adopt_settings()
        if host in self.lost_response_hosts:
            raise objectapi.ResponseLost("connection lost")
        return objectapi.HttpResponse(response.code, {}, body)

    def run(self, *argv, token=OPERATOR, hosts="10.0.0.1:8100"):
        """Run the command; return its exit code, stdout and stderr."""
        args = ctl.parse(list(argv))
        environ = {"CROCUSKEELCTL_HOSTS": hosts,
                   "CROCUSKEELCTL_TOKEN": token}
        client = ctl.connection(args, environ, self.read, self.send)
        if client.is_err():
            result = client
        else:
            session = ctl.Session(
                self.clock, client.unwrap(), lambda: 1.7e9, self.read,
                self.files.__setitem__)
            result = self._await_result(ctl.run(args, session))
        out, err = io.StringIO(), io.StringIO()
        code = ctl.print_result(result, args.json, out, err)
        return code, out.getvalue(), err.getvalue()

    def _await_result(self, coroutine):
        results = []
        deferred = defer.ensureDeferred(coroutine)
        deferred.addBoth(results.append)
        for _ in range(MAX_POLLS):
            if results:
                break
            self.clock.advance(POLL_INTERVAL_S)
            for web_client in self._web_clients.values():
                web_client.flush()
        return results[0]

    def read(self, name):
        """Return a file's text."""
        if name not in self.files:
            raise FileNotFoundError(name)
        return self.files[name]
