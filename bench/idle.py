"""Processor time of a host in calm, by the size of its fleet.

One host's reducer and its datagrams, both ways, on a virtual clock: no
callers, no streams. Other hosts tell it their state as often as they
would, and servers register at the start, some at a time. Prints one JSON
object a line: hosts, servers, whether it carries callers, milliseconds of
a processor in a second of calm and for the start in all, and kB a second
of datagrams, both ways.

Run as ``python -m bench.idle``.
"""

import json
import random
import time

from bench import hosts as fleets
from crocuskeel.core import entry
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import model
from crocuskeel.gateway import gossip as gossip_codec

# Hosts, with ten servers each.
FLEETS = (6, 30, 100, 300)
SERVERS_A_HOST = 10
NOW = 100.0
TICK_S = 0.3
CALM_S = 6.0
# Servers register over so long, s; a host fetches what changed so often.
START_S = 6.0
FETCH_S = 0.25
SERVICE = "engines"
# Of all other hosts; the one that is measured has more or fewer.
CORES = 1.0


def _peer(name):
    return fleets.new_peer(name, CORES)


class Fleet:
    """One host, the datagrams that others send it, and its costs."""

    def __init__(self, hosts, carries):
        self.now = NOW
        self.rng = random.Random(1)
        self.names = [f"h{number}" for number in range(hosts)]
        self.host = entry.new_host(entry.Settings(), random.Random(2))
        self.spent_s = 0.0
        self.bytes = 0
        # Names of the hosts that carry callers, once all were heard.
        self.serving_hosts = ()
        self.feed(events.Started(fleets.new_peer(
            "me", 1.1 if carries else 0.4)))
        self.feed(events.CatalogRead(model.Catalog(
            1, 1, {}, {SERVICE: model.Service(
                SERVICE, 0, model.EngineSpec(64, 500_000))},
            None, fleets.LIMITS)))
        self.feed(events.PeersListed(tuple(map(_peer, self.names))))

    def feed(self, event):
        """Feed an event; datagrams that follow are encoded."""
        began = time.process_time()
        for effect in entry.reduce(self.host, event, self.now):
            if type(effect) is effects.SendToPeer:
                self.bytes += len(gossip_codec.encode(effect.event))
        self.spent_s += time.process_time() - began

    def _hear(self, name):
        data = gossip_codec.encode(events.PeerStateReceived(
            _peer(name), True, False, 1, self.host.servers_revision,
            reads_store=name == "h0", store_data_age_s=0.1,
            serving_hosts=self.serving_hosts
            if name in self.serving_hosts else ()))
        self.bytes += len(data)
        began = time.process_time()
        event = gossip_codec.decode(data)
        self.spent_s += time.process_time() - began
        self.feed(event)

    def hear_all(self):
        """Have each other host tell its state once."""
        for name in self.names:
            self._hear(name)
        fleet.invalidate_serving_hosts(self.host)
        self.serving_hosts = tuple(peer.name for peer in fleet.serving_hosts(
            self.host, self.now))

    def tick(self):
        """Let a tick pass, in which others tell this host their state."""
        self.now += TICK_S
        for name in self._speakers():
            self._hear(name)
        self.feed(events.Ticked())

    def _speakers(self):
        others = [name for name in self.serving_hosts if name != "me"]
        if len(others) == len(self.serving_hosts):
            return others[:gossip.CONTACT_COUNT]
        told = min(len(others), gossip.MAX_FANOUT)
        small = max(0, len(self.names) - len(others))
        contacts = 0.5 * gossip.CONTACT_COUNT * small / len(self.serving_hosts)
        drawn = min(round(contacts), len(self.names))
        return (self.rng.sample(others, told)
                + self.rng.sample(self.names, drawn))


def measure(hosts, carries):
    """Return the figures of a fleet as a dict."""
    found = Fleet(hosts, carries)
    servers = [model.Server(
        f"e{number}", SERVICE, (f"10.0.0.{number}", 80), "a", 64, False)
        for number in range(hosts * SERVERS_A_HOST)]
    steps = round(START_S / FETCH_S)
    for step in range(steps):
        found.now += FETCH_S
        found.feed(events.ServersChanged(
            tuple(servers[step::steps]), (), step + 2, (), ()))
    start_s = found.spent_s
    found.hear_all()
    for _ in range(round(2 / TICK_S)):
        found.tick()
    found.spent_s, found.bytes = 0.0, 0
    for _ in range(round(CALM_S / TICK_S)):
        found.tick()
    return {"hosts": hosts, "servers": len(servers), "carries": carries,
            "calm_ms_a_second": round(found.spent_s / CALM_S * 1e3, 2),
            "start_ms": round(start_s * 1e3),
            "kb_a_second": round(found.bytes / CALM_S / 1e3, 1)}


def main():
    """Print the figures."""
    for hosts in FLEETS:
        for carries in (True, False):
            print(json.dumps(measure(hosts, carries)), flush=True)


if __name__ == "__main__":
    main()
