"""One event at a time: what every program's loop has in common."""

__all__ = ["feed"]


def feed(ctx, event, take):
    """Have ``take(ctx, event)`` called, now or after the running event.

    Effects may cause events at once (an answer of a fake in a test, a
    refused connection); these wait until the running event's effects are
    all carried out, so that the core sees one event at a time. ``ctx``
    has a ``queue`` and a flag ``reducing``.
    """
    ctx.queue.append(event)
    if ctx.reducing:
        return
    ctx.reducing = True
    try:
        while ctx.queue:
            take(ctx, ctx.queue.popleft())
    finally:
        ctx.reducing = False
