"""Requests of callers and their answers."""

import itertools

__all__ = ["Exchange", "new_key"]

_keys = itertools.count()


def new_key():
    """Return a key that no other request at this host has."""
    return next(_keys)


class Exchange:
    """One request of a caller and its answer.

    ``attempts`` maps the number of an attempt at a server to it.
    ``last_event_id`` is that of the last event that was sent to the caller.
    ``announced``: memory was asked for its body.
    """

    __slots__ = ("announced", "answer_begun", "attempts", "body",
                 "connection", "finished", "head", "key", "last_event_id",
                 "request", "timer")

    def __init__(self, connection, head, body, key=None):
        self.key = new_key() if key is None else key
        self.announced = key is not None
        self.connection = connection
        self.head = head
        self.body = body
        self.request = None
        self.attempts = {}
        self.timer = None
        self.last_event_id = None
        self.answer_begun = False
        self.finished = False

    def answer(self, status, headers, body):
        """Send a complete answer, unless one has begun."""
        if self.finished or self.answer_begun:
            return
        self.finished = True
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.connection.send_answer(status, headers, body)

    def begin_answer(self, status, headers):
        """Begin an answer of unknown length."""
        if self.answer_begun or self.finished:
            return
        self.answer_begun = True
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self.connection.send_head(status, headers)

    def send_data(self, data):
        """Send a piece of the answer."""
        if not self.finished:
            self.connection.send_data(data)

    def end_answer(self):
        """Complete the answer."""
        if not self.finished:
            self.finished = True
            self.connection.send_end()

    def abort(self):
        """Reset the connection, so that the answer can't seem complete."""
        if not self.finished:
            self.finished = True
            self.connection.transport.abortConnection()
