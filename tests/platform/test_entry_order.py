"""Guards against live servers that are taken for gone by hosts that start."""

import json
import random
import unittest

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.platform import objects
from crocuskeel.platform import store_watcher
from tests.entry import support
from twisted.internet import task

CONFIG = {"Meta": {"Name": "main", "Rev": 3}, "Spec": {
    "Version": 3, "Routes": [], "Services": [{"Name": "plain"}]}}
CREATED = {"s1": 10, "s2": 60}


class _Gateway:
    def __init__(self):
        self.host = entry.new_host(entry.Settings(), random.Random(1))
        self.feed(events.Started(support.peer("me")))

    def feed(self, event):
        entry.reduce(self.host, event, 0.0)

    def log(self, event, fields):
        raise AssertionError(event, fields)


class _Store:
    def note_era(self, era):
        pass


def _entry(sid):
    return {"Meta": {"Name": sid, "Rev": 70, "CreatedRev": CREATED[sid]},
            "Spec": {"Service": "plain", "Addr": "10.0.0.9:80", "Zone": "a",
                     "Seq": 1, "Version": "v1", "Slots": 6, "State": "ready",
                     "ColdLeftMs": 0}}


class EntryOrderTest(unittest.TestCase):
    """Entries of one address, as hosts tell each other of them."""

    def test_hosts_tell_each_other_when_entries_were_created(self):
        # Hosts that start also get the list from each other, in any order.
        for order in (("s1", "s2"), ("s2", "s1")):
            for keep in (dict, objects.trimmed_server, objects.server_record):
                with self.subTest(order=order, keep=keep):
                    self._check([keep(_entry(sid)) for sid in order])

    def _check(self, rows):
        gateway = _Gateway()
        watcher = store_watcher.new_watcher(task.Clock(), gateway, _Store())
        watcher.apply_snapshot(
            {"config": CONFIG, "servers": rows, "revision": 70})
        self.assertEqual(
            {"s1": True, "s2": False},
            {sid: state.address_reused
             for sid, state in gateway.host.servers.items()})
        told = json.loads(json.dumps(watcher.snapshot(1)))
        self.assertEqual(CREATED, {
            objects.name(obj): objects.server(obj).created
            for obj in told["servers"]})


if __name__ == "__main__":
    unittest.main()
