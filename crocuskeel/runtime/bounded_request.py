"""HTTP requests with a body size limit enforced while reading."""

import io
import json

from twisted.web import server

from crocuskeel.core import problems
from crocuskeel.runtime import problem_bodies

__all__ = ["MAX_BODY_BYTES", "new_site"]

MAX_BODY_BYTES = 2 * 1024 * 1024
IDLE_TIMEOUT_S = 60.0
_CLOSE_DELAY_S = 0.5


class _BoundedRequest(server.Request):
    """Refuses a body over the limit by its length or while it arrives.

    Twisted reads the whole body before the request is handled, so one
    upload could exhaust the host's memory. The refusal is sent at once;
    the connection is closed shortly after, since closing it with unread
    data would reset it before the caller has read the response.
    """

    max_body = MAX_BODY_BYTES
    received_bytes = 0
    refused = False

    def gotLength(self, length):
        if length is not None and length > self.max_body:
            self.content = io.BytesIO()
            self._refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data):
        self.received_bytes += len(data)
        if self.refused:
            return
        if self.received_bytes > self.max_body:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command, path, version):
        if not self.refused:
            super().requestReceived(command, path, version)

    def _refuse(self):
        self.refused = True
        problem = problems.new_problem(
            problems.Reason.TOO_LARGE,
            detail=f"a body may have {self.max_body} bytes")
        body = json.dumps(problem_bodies.as_dict(problem)).encode()
        channel = self.channel
        channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
            b"Content-Type: %b\r\nContent-Length: %d\r\n\r\n%b" % (
                problem_bodies.CONTENT_TYPE.encode(), len(body), body))
        channel.callLater(_CLOSE_DELAY_S, channel.loseConnection)


def new_site(reactor, resource, max_body=MAX_BODY_BYTES):
    """Return a site that limits body size and idle time.

    Twisted itself limits request heads to 16 KiB and 500 headers.
    """
    def new_request(*args, **kwargs):
        req = _BoundedRequest(
            *args, parsePOSTFormSubmission=False, **kwargs)
        req.max_body = max_body
        return req

    site = server.Site(
        resource, requestFactory=new_request, reactor=reactor,
        timeout=IDLE_TIMEOUT_S)
    site.noisy = False
    site.log = _no_access_log
    return site


def _no_access_log(_req):
    """Do nothing: requests are already recorded in the timeline."""
