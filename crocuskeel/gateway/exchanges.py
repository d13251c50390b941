"""Requests of callers and their answers."""

import itertools
import json

from twisted.internet import interfaces
from zope import interface

__all__ = ["Exchange", "error_answer", "new_key"]

_keys = itertools.count()


def new_key():
    """Return a key that no other request at this host has."""
    return next(_keys)


def error_answer(reason, retry_delay_s):
    """Return (headers, body) of an answer of this host's own.

    ``retry_delay_s`` is when the caller may come back, or None.
    """
    headers = [(b"Content-Type", b"application/json")]
    if retry_delay_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_delay_s))
    return headers, json.dumps({"error": reason}).encode()


@interface.implementer(interfaces.IPushProducer)
class Exchange:
    """One request of a caller and its answer.

    ``attempts`` maps the number of an attempt at a server to it.
    ``last_event_id`` is that of the last event that was sent to the caller.
    ``announced``: memory was asked for its body. ``source`` is the attempt
    whose stream is forwarded; as the producer of the caller's connection an
    exchange pauses it while the caller reads too slowly. ``unframed``: the
    answer has neither a length nor chunks, and ends with the connection.
    ``cut_why``: why this host has reset the connection by itself.
    """

    __slots__ = ("announced", "answer_begun", "attempts", "body",
                 "connection", "cut_why", "finished", "head", "key",
                 "last_event_id", "paused", "request", "source", "timer",
                 "unframed")

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
        self.source = None
        self.paused = False
        self.unframed = False
        self.cut_why = ""

    def answer(self, status, headers, body, framing=None):
        """Send an answer, unless one has begun.

        ``framing`` holds the headers that tell its length, None for that of
        ``body``.
        """
        if self.finished or self.answer_begun:
            return
        self.finished = True
        if framing is None:
            framing = [(b"Content-Length", b"%d" % len(body))]
        if self.head.method == b"HEAD":
            body = b""
        self.connection.send_answer(status, [*headers, *framing], body)

    def begin_answer(self, status, headers, source=None, unframed=False):
        """Begin an answer of unknown length, or go on from another source.

        A source is paused while the caller reads too slowly. ``unframed`` if
        its end won't be known for certain.
        """
        if self.finished:
            return
        self.source = source
        if self.paused:
            source.pause_reading(self)
        if self.answer_begun:
            return
        self.answer_begun = True
        self.unframed = unframed
        if not unframed:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self.connection.send_head(status, headers)
        if source is not None:
            self.connection.begin_stream(self)

    def pauseProducing(self):
        """Read no more of the stream: its caller reads too slowly."""
        self.paused = True
        self.source.pause_reading(self)

    def resumeProducing(self):
        """Read the stream on."""
        self.paused = False
        self.source.resume_reading(self)

    def stopProducing(self):
        """Do nothing: the loss of the connection ends the exchange."""

    def send_data(self, data):
        """Send a piece of the answer."""
        if not self.finished:
            self.connection.send_data(data)

    def end_answer(self):
        """End the answer in order."""
        if not self.finished:
            self.finished = True
            self.connection.send_end()

    def abort(self):
        """Reset the connection, so that the answer can't seem complete."""
        if not self.finished:
            self.finished = True
            self.connection.transport.abortConnection()
