"""Serial event processing, shared by the event loops of all programs."""

__all__ = ["feed"]


def feed(ctx, event, handle):
    """Call ``handle(ctx, event)``, now or after the current event.

    Effects may cause events synchronously (a test double's answer, a
    refused connection); these are queued until all effects of the current
    event have run, so that the core handles one event at a time. ``ctx``
    has an ``event_queue`` and a flag ``handling_event``.
    """
    ctx.event_queue.append(event)
    if ctx.handling_event:
        return
    ctx.handling_event = True
    try:
        while ctx.event_queue:
            handle(ctx, ctx.event_queue.popleft())
    finally:
        ctx.handling_event = False
