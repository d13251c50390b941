"""Timers of connections."""

__all__ = ["Timer"]


class Timer:
    """Calls a function once, unless it is started anew or cancelled."""

    __slots__ = ("call", "reactor")

    def __init__(self, reactor):
        self.reactor = reactor
        self.call = None

    def start(self, delay_s, callback):
        """Call a function in a while, and not what was to be called."""
        self.cancel()
        self.call = self.reactor.callLater(delay_s, callback)

    def cancel(self):
        """Call nothing."""
        if self.call is not None and self.call.active():
            self.call.cancel()
        self.call = None
