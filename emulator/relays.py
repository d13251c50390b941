"""Requests that one simulated host relays to another."""

from crocuskeel.core.entry import events
from crocuskeel.core.entry import model

__all__ = ["Relay"]


class Relay:
    """A request that another host relays: a caller there, a server here.

    ``kind``, ``length``, ``events`` and what it does to servers are those of
    its caller.
    """

    sid = ""

    def __init__(self, listener, caller, other):
        self.listener = listener
        self.other = other
        self.key = None
        self.kind = caller.kind
        self.length = caller.length
        self.stop_refusals = []
        self.events = caller.events
        self.crashes_servers = caller.crashes_servers
        self.crash_after = caller.crash_after
        self.bad_part = caller.bad_part
        self.opened = False
        # The software version of the server that wrote the latest event.
        self.version = ""

    def submit(self, request):
        """Arrive at the other host."""
        self.key = self.other.receive_request(self, request)
        if self.key is None:
            self.listener.fail(model.Outcome.REFUSED)

    def cancel(self, run):
        """Leave the other host."""
        if self.key is not None:
            self.other.caller_disconnected(self.key)

    def receive_event(self, version):
        """Pass an event of a stream on."""
        self.version = version
        if self.opened:
            self.listener.progressed(None)
            return
        self.opened = True
        self.listener.send_event(events.StreamOpened(
            self.listener.key, self.listener.attempt_number, None))

    def response_ended(self):
        """Pass the end of a response on."""
        key, number = self.listener.key, self.listener.attempt_number
        if self.opened:
            self.listener.send_event(events.StreamEnded(key, number))
            return
        self.listener.send_event(
            events.ResponseReceived(key, number, 200, None, True))

    def request_refused(self, status, retry_s):
        """Pass an error response on."""
        if status == 503:
            self.listener.send_event(events.AttemptFailed(
                self.listener.key, self.listener.attempt_number,
                model.Outcome.NOT_RUN))
            return
        self.listener.send_event(events.ResponseReceived(
            self.listener.key, self.listener.attempt_number, status, None,
            False))

    def connection_lost(self):
        """Pass the loss of the connection on."""
        self.listener.broken(None)
