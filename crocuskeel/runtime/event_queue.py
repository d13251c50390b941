"""Serial event processing, shared by the event loops of all programs."""

__all__ = ["feed"]


def feed(ctx, event, handle):
    """Call ``handle(ctx, event)``, now or after the current event.

    Effects may cause events synchronously (a test double's answer, a
    refused connection); these are queued until all effects of the current
    event have run, so that the core handles one event at a time. ``ctx``
    has a ``queue`` and a flag ``reducing``.
    """
    ctx.queue.append(event)
    if ctx.reducing:
        return
    ctx.reducing = True
    try:
        while ctx.queue:
            handle(ctx, ctx.queue.popleft())
    finally:
        ctx.reducing = False
