"""HTTP requests whose bodies are bounded before they are read."""

import io
import json

from twisted.web import server

from crocuskeel.core import problems
from crocuskeel.runtime import problem_bodies

__all__ = ["MAX_BODY_BYTES", "new_site"]

MAX_BODY_BYTES = 2 * 1024 * 1024
IDLE_S = 60.0
_LINGER_S = 0.5


class _BoundedRequest(server.Request):
    """Refuses a body over the limit at its head or as it grows.

    Twisted reads a whole body before the request is handled: a caller
    could fill the memory of the host with one upload. The refusal goes
    out at once; the connection is closed a moment later, since closing
    it with unread data would reset it before the caller reads why.
    """

    max_body = MAX_BODY_BYTES
    seen = 0
    over = False

    def gotLength(self, length):
        if length is not None and length > self.max_body:
            self.content = io.BytesIO()
            self._refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data):
        self.seen += len(data)
        if self.over:
            return
        if self.seen > self.max_body:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command, path, version):
        if not self.over:
            super().requestReceived(command, path, version)

    def _refuse(self):
        self.over = True
        problem = problems.problem(
            problems.Reason.TOO_LARGE,
            detail=f"a body may have {self.max_body} bytes")
        body = json.dumps(problem_bodies.as_dict(problem)).encode()
        channel = self.channel
        channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
            b"Content-Type: %b\r\nContent-Length: %d\r\n\r\n%b" % (
                problem_bodies.CONTENT_TYPE.encode(), len(body), body))
        channel.callLater(_LINGER_S, channel.loseConnection)


def new_site(reactor, resource, max_body=MAX_BODY_BYTES):
    """Return a site with bounded bodies and idle time.

    Heads are bounded by Twisted itself: 16 KiB and 500 headers.
    """
    def new_request(*args, **kwargs):
        req = _BoundedRequest(
            *args, parsePOSTFormSubmission=False, **kwargs)
        req.max_body = max_body
        return req

    site = server.Site(
        resource, requestFactory=new_request, reactor=reactor,
        timeout=IDLE_S)
    site.noisy = False
    site.log = _no_access_log
    return site


def _no_access_log(_req):
    """The time line tells of requests; Twisted's log would double it."""
