"""Connects the operator API's routes to a daemon's runtime."""

from crocuskeel.ops import routes
from crocuskeel.runtime import loop
from crocuskeel.runtime import records

__all__ = ["mount"]


def mount(app, ctx):
    """Mount the routes on the HTTP app of a runtime context.

    They are more specific than the app's own ``/ops/<name>`` route and
    therefore match first.
    """
    routes.register(app, routes.Runtime(
        reactor=ctx.reactor,
        daemon=ctx.daemon,
        ring=lambda: records.recent_events(ctx)[0],
        feed=lambda event: loop.feed(ctx, event),
        record=lambda effect: records.record_event(
            ctx, effect.kind, effect.rid, **dict(effect.fields)),
        platform=lambda: ctx.platform,
    ))
