"""The runtime's own operations under ``/ops/``."""

from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.runtime import ops

__all__ = ["register_all"]


def register_all(ctx):
    """Register the operations of the runtime."""
    ops.register(ctx, "GET", "runtime", ops.READ, _runtime)


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
