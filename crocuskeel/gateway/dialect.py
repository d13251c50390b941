"""What the I/O has to be told of the headers of a deployment."""

import dataclasses
import enum
import typing

__all__ = ["Dialect", "Head", "Verdict"]


class Verdict(enum.Enum):
    """What the head of a server's answer says of it."""

    ANSWER = "answer"
    # The server says that it did not run the request.
    NOT_RUN = "not_run"
    # Another server has the address.
    MISDIRECTED = "misdirected"
    # The answer to an earlier request on this connection.
    FOREIGN = "foreign"
    # No answer that a sound server gives.
    GARBLED = "garbled"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a message: ``headers`` as (name, value) in bytes.

    ``method`` and ``target`` are a request's, ``status`` an answer's.
    """

    headers: tuple
    method: bytes = b""
    target: bytes = b""
    status: int = 0

    def get(self, name):
        """Return the first value of a header in lowercase, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Functions that read and write the headers of a deployment.

    ``read_request(head, body)`` returns a model.Request or raises
    ValueError with the reason of a 400. ``server_headers(head, send,
    last_event)`` returns a request's headers towards a server, without
    its framing. ``judge(request, head)`` returns a Verdict,
    ``load(head)`` (running, waiting, slots) or None, ``hints(head)`` a
    model.Hints. ``stamped(head)``
    says whether a server vouches for an answer. ``answer_headers(head,
    keep_stamp)`` returns an answer's headers towards the caller.
    """

    read_request: typing.Callable
    server_headers: typing.Callable
    judge: typing.Callable
    load: typing.Callable
    hints: typing.Callable
    stamped: typing.Callable
    answer_headers: typing.Callable
