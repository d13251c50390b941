"""CPU time of an idle host, by the size of its fleet.

Runs one host's reducer and its datagrams, both ways, on a virtual clock,
without callers or streams. Other hosts send it their state at the normal
rate, and servers register in batches at the start. Prints one JSON object
a line: hosts, servers, whether it serves callers, milliseconds of CPU time
per idle second and in total for the start, and kB a second of datagrams,
both ways.

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

# Numbers of hosts, with ten servers each.
FLEET_SIZES = (6, 30, 100, 300)
SERVERS_PER_HOST = 10
NOW = 100.0
TICK_S = 0.3
IDLE_S = 6.0
# Servers register over REGISTRATION_S; a host fetches changes every FETCH_S.
REGISTRATION_S = 6.0
FETCH_S = 0.25
SERVICE = "engines"
# Cores of the other hosts; the measured host has more or fewer.
CORES = 1.0


def _peer(name):
    return fleets.new_peer(name, CORES)


class MeasuredHost:
    """One host, the datagrams that other hosts send it, and its costs."""

    def __init__(self, hosts, carries):
        self.now = NOW
        self.rng = random.Random(1)
        self.names = [f"h{number}" for number in range(hosts)]
        self.host = entry.new_host(entry.Settings(), random.Random(2))
        self.cpu_s = 0.0
        self.bytes = 0
        # Names of the hosts that serve callers, once all have sent state.
        self.serving_hosts = ()
        self.feed(events.Started(fleets.new_peer(
            "me", 1.1 if carries else 0.4)))
        self.feed(events.CatalogRead(model.Catalog(
            1, 1, {}, {SERVICE: model.Service(
                SERVICE, 0, model.EngineSpec(64, 500_000))},
            None, fleets.LIMITS)))
        self.feed(events.PeersListed(tuple(map(_peer, self.names))))

    def feed(self, event):
        """Reduce an event and encode the resulting datagrams."""
        began = time.process_time()
        for effect in entry.reduce(self.host, event, self.now):
            if type(effect) is effects.SendToPeer:
                self.bytes += len(gossip_codec.encode(effect.event))
        self.cpu_s += time.process_time() - began

    def _receive_from(self, name):
        data = gossip_codec.encode(events.PeerStateReceived(
            _peer(name), True, False, 1, self.host.servers_revision,
            reads_store=name == "h0", store_data_age_s=0.1,
            serving_hosts=self.serving_hosts
            if name in self.serving_hosts else ()))
        self.bytes += len(data)
        began = time.process_time()
        event = gossip_codec.decode(data)
        self.cpu_s += time.process_time() - began
        self.feed(event)

    def receive_from_all(self):
        """Receive the state of each other host once."""
        for name in self.names:
            self._receive_from(name)
        fleet.invalidate_serving_hosts(self.host)
        self.serving_hosts = tuple(peer.name for peer in fleet.serving_hosts(
            self.host, self.now))

    def tick(self):
        """Advance by a tick, with the states that other hosts send in it."""
        self.now += TICK_S
        for name in self._draw_senders():
            self._receive_from(name)
        self.feed(events.Ticked())

    def _draw_senders(self):
        others = [name for name in self.serving_hosts if name != "me"]
        if len(others) == len(self.serving_hosts):
            return others[:gossip.CONTACT_COUNT]
        peer_count = min(len(others), fleet.MAX_FANOUT)
        non_serving = max(0, len(self.names) - len(others))
        contacts = 0.5 * gossip.CONTACT_COUNT * non_serving / len(
            self.serving_hosts)
        drawn_count = min(round(contacts), len(self.names))
        return (self.rng.sample(others, peer_count)
                + self.rng.sample(self.names, drawn_count))


def measure(hosts, carries):
    """Return the figures of a fleet as a dict."""
    fleet_host = MeasuredHost(hosts, carries)
    servers = [model.Server(
        f"e{number}", SERVICE, (f"10.0.0.{number}", 80), "a", 64, False)
        for number in range(hosts * SERVERS_PER_HOST)]
    steps = round(REGISTRATION_S / FETCH_S)
    for step in range(steps):
        fleet_host.now += FETCH_S
        fleet_host.feed(events.ServersChanged(
            tuple(servers[step::steps]), (), step + 2, (), ()))
    start_s = fleet_host.cpu_s
    fleet_host.receive_from_all()
    for _ in range(round(2 / TICK_S)):
        fleet_host.tick()
    fleet_host.cpu_s, fleet_host.bytes = 0.0, 0
    for _ in range(round(IDLE_S / TICK_S)):
        fleet_host.tick()
    return {"hosts": hosts, "servers": len(servers), "carries": carries,
            "calm_ms_a_second": round(fleet_host.cpu_s / IDLE_S * 1e3, 2),
            "start_ms": round(start_s * 1e3),
            "kb_a_second": round(fleet_host.bytes / IDLE_S / 1e3, 1)}


def main():
    """Print the figures."""
    for hosts in FLEET_SIZES:
        for carries in (True, False):
            print(json.dumps(measure(hosts, carries)), flush=True)


if __name__ == "__main__":
    main()
