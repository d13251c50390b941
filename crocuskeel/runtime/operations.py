"""The runtime's own operations under ``/ops/``."""

from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.runtime import loop
from crocuskeel.runtime import ops
from crocuskeel.runtime import records

__all__ = ["register_all"]

MAX_EVENTS = 2000


def register_all(ctx):
    """Register the operations of the runtime."""
    ops.register(ctx, "GET", "timeline", ops.READ, _timeline)
    ops.register(ctx, "GET", "runtime", ops.READ, _runtime)
    ops.register(ctx, "POST", "drain", ops.CHANGE, _drain)


def _timeline(ctx, ask):
    after = _number(ask, "after")
    rows, after = records.recent(ctx, after, MAX_EVENTS)
    return {"events": rows, "next": after}


def _number(ask, name):
    text = ask.args.get(name, "0")
    return int(text) if text.isdecimal() else 0


def _runtime(ctx, _ask):
    return {
        "host": ctx.daemon.me.host,
        "incarnation": ctx.daemon.me.incarnation,
        "generation": follower.generation(ctx.daemon),
        "live": list(membership.live(ctx.daemon)),
        "held": len(ctx.held),
        "attempts": len(ctx.attempts),
        "kept_bytes": ctx.kept.size,
        "links": {host: len(group)
                  for host, group in ctx.peers.links.items()},
        "refused_batches": ctx.peers.refused,
        "platform_calls": (
            dict(ctx.platform.counts) if ctx.platform else {}),
        "dropped_lines": ctx.records.dropped,
    }


def _drain(ctx, _ask):
    ctx.reactor.callLater(0, loop.feed, ctx, events.DrainAsked())
    return {"draining": True}
