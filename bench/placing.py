"""CPU time to place one prompt, by the number of engines.

Runs an entry host's reducer without I/O. The loads of other hosts are
known for each engine, with streams that have short pauses, and some
engines prefill long prompts. Prints one JSON object a line: name, value in
microseconds, n.

Run as ``python -m bench.placing``.
"""

import json
import random
import time

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model

ENGINES = (9, 70, 1700)
PEERS = 36
PLACEMENTS = 300
NOW = 100.0
SERVICE = "engines"
TOKEN_GAP_MS = 200


def _host(engines):
    host = entry.new_host(entry.Settings(), random.Random(1))
    route = model.Route(
        "chat", "desk", "/chat/", model.Kind.STREAM, ((SERVICE, 1),),
        15.0, 0.3, 1, 0, True, False, TOKEN_GAP_MS / 1000)
    catalog = model.Catalog(
        1, 1, {"desk": [route]},
        {SERVICE: model.Service(SERVICE, 0, model.EngineSpec(64, 232_000))},
        None, model.Limits(16384, 1 << 20, 3.0, 15.0))
    servers = tuple(
        model.Server(f"e{number}", SERVICE, (f"10.0.0.{number}", 80), "a",
                     64, False)
        for number in range(engines))
    me = model.Peer("me", 1, "a", "me:80", ("me", 81), ("me", 82), 1.0)
    for event in (events.Started(me), events.CatalogRead(catalog),
                  events.ServersListed(servers, 1)):
        entry.reduce(host, event, NOW)
    return host


def _update_loads(host, now):
    """Set other hosts' loads: streams, and prefills at some engines."""
    for number, state in enumerate(host.servers.values()):
        for peer in range(PEERS):
            tokens = 6_000 if (number + peer) % 7 == 0 else 0
            state.peer_loads.update(f"h{peer}", 1, tokens, int(tokens > 0),
                                    now, ((0, TOKEN_GAP_MS, 1),), 600)
        state.expected_pause_s, state.expected_pause_at = (
            0.2 * (number % 3), now)


def _request(key):
    part = f"session-{key % 40}"
    return model.Request(
        f"r{key}", "POST", "desk", "/chat/1", "", 15.0,
        model.Prompt((("app", 100), (part, 70), (f"own-{key}", 400)),
                     570, 280))


def measure(engines):
    """Return the mean CPU time of one placement, microseconds."""
    host = _host(engines)
    cpu_s = 0.0
    for key in range(PLACEMENTS):
        now = NOW + key * 0.001
        if key % 100 == 0:
            _update_loads(host, now)
        event = events.RequestReceived(key, _request(key))
        began = time.process_time()
        entry.reduce(host, event, now)
        cpu_s += time.process_time() - began
    return cpu_s / PLACEMENTS * 1e6


def main():
    """Print the figures."""
    for engines in ENGINES:
        print(json.dumps({
            "name": f"place_{engines}_engines",
            "value": round(measure(engines)), "n": PLACEMENTS}), flush=True)


if __name__ == "__main__":
    main()
