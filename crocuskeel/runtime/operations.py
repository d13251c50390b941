"""The runtime's own operations under ``/ops/``."""

from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.runtime import ops

__all__ = ["register_all"]


def register_all(ctx):
    """Register the operations of the runtime."""
    ops.register(ctx, "GET", "runtime", ops.READ, _runtime_status)


def _runtime_status(ctx, _ops_request):
    return {
        "host": ctx.daemon.identity.host,
        "incarnation": ctx.daemon.identity.incarnation,
        "generation": follower.generation(ctx.daemon),
        "live": list(membership.live(ctx.daemon)),
        "held": len(ctx.exchanges),
        "attempts": len(ctx.attempts),
        "kept_bytes": ctx.response_cache.size,
        "links": {host: len(host_links)
                  for host, host_links in ctx.peers.links.items()},
        "refused_batches": ctx.peers.refused_count,
        "platform_calls": (
            dict(ctx.platform.counts) if ctx.platform else {}),
        "dropped_lines": ctx.records.dropped_lines,
    }
