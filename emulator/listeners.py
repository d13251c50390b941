"""Listeners: what reports the progress of an attempt to its host."""

import enum

from crocuskeel.core.entry import events
from crocuskeel.core.entry import model

__all__ = ["Cut", "Listener"]


class Cut(enum.Enum):
    """What a host's connections to servers do while it is cut off."""

    # New ones are refused, or time out; open ones live on.
    REFUSED = "refused"
    TIMEOUT = "timeout"
    # All are reset.
    RESET = "reset"
    # All stay open and carry nothing.
    SILENT = "silent"


class Listener:
    """Reports an attempt's progress to its host after the network delay."""

    def __init__(self, host, key, attempt_number, server):
        self.host = host
        self.key = key
        self.attempt_number = attempt_number
        self.server = server
        self.digest = host.pending[key].request.digest
        self.silenced = False

    def opened(self, run):
        """Report the first event of a stream."""
        self._send_hints()
        self.send_event(
            events.StreamOpened(self.key, self.attempt_number,
                                self.server.load()))

    def progressed(self, run):
        """Report a further event of a stream."""
        self.send_event(
            events.StreamProgressed(
                self.key,
                self.attempt_number))

    def ended(self, run):
        """Report the end of the response."""
        if run.prompt is not None:
            self.send_event(events.StreamEnded(
                self.key, self.attempt_number,
                closed=self.server is not None
                and self.server.ends_connections))
            return
        self._send_hints()
        self.send_event(events.ResponseReceived(
            self.key, self.attempt_number, 200, self.server.load(), True))

    def broken(self, run):
        """Report a broken connection."""
        self.send_event(events.AttemptFailed(
            self.key, self.attempt_number, model.Outcome.DISCONNECTED, "reset",
            True))

    def fail(self, outcome):
        """Report a failure before the request was run."""
        if outcome is model.Outcome.NOT_RUN:
            self._send_hints()
        self.send_event(
            events.AttemptFailed(self.key, self.attempt_number, outcome))

    def _send_hints(self):
        hints = self.server.hints()
        now, name = self.host.world.clock.now, self.host.name
        if hints.rate_limit is not None:
            self.server.told.setdefault(name, now)
        if hints.leaving:
            self.server.told_leaving.setdefault(name, now)
        if hints.backoff_s is not None:
            self.server.rests.append((now, name, hints.backoff_s))
        self.send_event(
            events.HintsReceived(
                self.key,
                self.attempt_number,
                hints))

    def send_event(self, event):
        """Deliver an event, unless the connection has fallen silent."""
        if (self.host.cut is Cut.SILENT and self.server is not None
                and self.server.sid in self.host.lost):
            self.silenced = True
        if self.silenced:
            return
        self.host.world.clock.after(
            self.host.world.network_delay_s, self.host.receive_event,
            self.host.boot, event)
