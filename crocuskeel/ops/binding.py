"""Binds the operators' routes to a daemon's runtime."""

from crocuskeel.ops import routes
from crocuskeel.runtime import loop
from crocuskeel.runtime import records

__all__ = ["mount"]


def mount(app, ctx):
    """Mount the routes on the door's app for a runtime context.

    They are more specific than the door's own ``/ops/<name>`` and so
    are found first.
    """
    routes.register(app, routes.Runtime(
        reactor=ctx.reactor,
        daemon=ctx.daemon,
        ring=lambda: records.recent(ctx)[0],
        feed=lambda event: loop.feed(ctx, event),
        record=lambda effect: records.note(
            ctx, effect.kind, effect.rid, **dict(effect.fields)),
        platform=lambda: ctx.platform,
    ))
