"""Runs of the rig with one mechanism of the hosts broken by hand.

``python -m tools.rig.broken NAME ...``, by default all. Each has to turn the
judge's row red that is named with it; the exit code is 1 if one doesn't.
"""

import argparse
import collections
import dataclasses
import sys
import tempfile
import time
import typing

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import lifecycle
from crocuskeel.core.entry import lookups
from crocuskeel.core.entry import model
from crocuskeel.core.entry import stopping
from crocuskeel.gateway import callers
from crocuskeel.gateway import exchanges
from crocuskeel.gateway import listeners
from crocuskeel.gateway import loop
from crocuskeel.gateway import servers
from crocuskeel.gateway import sockets
from crocuskeel.platform import headers
from crocuskeel.platform import reloading
from tools.rig import __main__ as rig
from tools.rig import host

__all__ = ["MECHANISMS", "main"]

# A connection that is closed under its request is so after this, s.
CLOSE_S = 0.03
CLOSE_EACH = 5
# A count that is no finding, and how many there may be.
TAKEN = "taken by a stopping host and cut"
MAX_TAKEN = 3
STILL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Mechanism:
    """What breaks it, the rule that sees this, and the mix of the run.

    ``text`` is a part of the finding's text. Without a rule it breaks none.
    """

    break_it: typing.Callable
    rule: str
    mix: str
    text: str = ""


def _always(value):
    return lambda *args, **kwargs: value


def _refuse_nothing():
    stopping.must_refuse = _always(False)


def _refuse_what_runs():
    def must_refuse(entry, pending, now):
        return (entry.stop_at is not None
                and pending.forwarded_attempt is None
                and pending.fallback is None)

    stopping.must_refuse = must_refuse


def _exit_early():
    stopping.EXIT_MARGIN_S = 6.0


def _exit_late():
    lifecycle._exit = _always([])


def _keep_alive():
    listeners.Listener.end_keep_alive = _always(None)


def _stand_still():
    """Have a host that stops stand still before it closes connections."""
    close_idle = listeners.Listener.close_idle

    def close_later(listener):
        time.sleep(STILL_S)
        return close_idle(listener)

    listeners.Listener.close_idle = close_later


def _close_unread():
    _stand_still()
    sockets.unread = _always(0)
    sockets.drop_new = _always(None)


def _any_version():
    lookups.resolve = _always((lookups.Finding.READY, []))


def _out_of_step():
    for name in ("_is_in_step", "_is_up_to_date", "_knows_versions"):
        setattr(lookups, name, _always(True))
    fleet.reads_store = fleet.hears_all = _always(True)


def _begin_again():
    own = headers._own_headers

    def own_headers(head, excluded, send, last_event_id):
        return own(head, excluded | {headers.LAST_EVENT.lower()}, send, None)

    headers._own_headers = own_headers


def _any_event():
    _begin_again()
    servers.Attempt._ids_increase = _always(True)


def _end_in_order():
    abort = exchanges.Exchange.abort

    def end(exchange):
        (exchange.end_answer if exchange.answer_begun
         else lambda: abort(exchange))()

    exchanges.Exchange.abort = end


def _send_twice():
    model.Route.repeatable = property(_always(True))
    model.Route.max_servers = property(_always(2), _always(None))


def _shorten():
    send = callers.CallerConnection.send_answer

    def send_answer(conn, status, headers, body):
        send(conn, status, [
            (name, b"%d" % len(body[:-1]) if name == b"Content-Length"
             else value) for name, value in headers], body[:-1])

    callers.CallerConnection.send_answer = send_answer


def _close_all(gateway):
    conns = gateway.listener.open_connections if gateway.listener else ()
    for conn in list(conns):
        conn.transport.abortConnection()


def _close_on_signals():
    reload = reloading.Reloader.reload

    def reload_and_close(reloader, is_requested=True):
        reload(reloader, is_requested)
        if is_requested:
            _close_all(reloader.gateway)

    reloading.Reloader.reload = reload_and_close


def _close_on_catalogs():
    log = loop.EFFECT_HANDLERS[effects.LogEvent]

    def log_and_close(gateway, effect):
        log(gateway, effect)
        if effect.event == "catalog":
            _close_all(gateway)

    loop.EFFECT_HANDLERS[effects.LogEvent] = log_and_close


def _close_kept():
    deliver = callers.CallerConnection._deliver_request
    counts = collections.Counter()

    def deliver_and_close(conn):
        deliver(conn)
        counts[conn] += 1
        if counts[conn] % CLOSE_EACH == 0:
            conn.reactor.callLater(CLOSE_S, conn.transport.abortConnection)

    callers.CallerConnection._deliver_request = deliver_and_close


MECHANISMS = {
    "refusals": Mechanism(_refuse_nothing, TAKEN, "stops"),
    "exit-early": Mechanism(_exit_early, "LOST", "stops", "SIGTERM"),
    "exit-late": Mechanism(_exit_late, "KILLED", "stops"),
    "refused-runs": Mechanism(_refuse_what_runs, "REFUSED", "stops"),
    "keep-alive": Mechanism(_keep_alive, "", "stops"),
    "slow": Mechanism(_stand_still, "", "stops"),
    "unread": Mechanism(_close_unread, "LOST", "stops"),
    "signals": Mechanism(_close_on_signals, "LOST", "changes", "SIGHUP"),
    "catalogs": Mechanism(_close_on_catalogs, "LOST", "changes",
                          "configuration"),
    "kept": Mechanism(_close_kept, "LOST, kept", "changes"),
    "versions": Mechanism(_any_version, "ORDER", "changes", "versions"),
    "in-step": Mechanism(_out_of_step, "ORDER", "cuts", "versions"),
    "last-event": Mechanism(_begin_again, "ORDER", "changes", "after"),
    "event-ids": Mechanism(_any_event, "ORDER", "all", "after"),
    "ends": Mechanism(_end_in_order, "ORDER", "all", "whole after"),
    "twice": Mechanism(_send_twice, "TWICE", "changes"),
    "bodies": Mechanism(_shorten, "MIXED", "changes"),
}


def _run(name, seed, seconds, callers_count):
    """Play a run with a mechanism broken; return whether its row is red."""
    broken = MECHANISMS[name]
    with tempfile.TemporaryDirectory() as folder:
        result = rig.play(
            folder, seed=seed, seconds=seconds, mix=broken.mix,
            callers=callers_count,
            program=("tools.rig.broken", "--host", name))
    counts = collections.Counter(each.rule for each in result.findings)
    red = sum(each.rule == broken.rule and broken.text in each.text
              for each in result.findings)
    if broken.rule == TAKEN:
        red = max(0, result.counts[TAKEN] - MAX_TAKEN)
    print(f"{name}: {broken.mix}, {len(result.tries)} tries, {dict(counts)}, "
          f"{red} of {broken.rule} {broken.text}, {result.counts}", flush=True)
    return red > 0 if broken.rule else not counts


def main(argv):
    """Run hosts or the rig; return the exit code."""
    if argv[:1] == ["--host"]:
        MECHANISMS[argv[1]].break_it()
        return host.main(argv[2:])
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME",
                        help=", ".join(MECHANISMS))
    parser.add_argument("--seed", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--callers", type=int, default=40)
    args = parser.parse_args(argv)
    results = [_run(name, args.seed, args.seconds, args.callers)
               for name in args.names or MECHANISMS]
    return int(not all(results))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
