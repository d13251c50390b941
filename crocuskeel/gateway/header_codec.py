"""Interface to the headers of a deployment."""

import dataclasses
import enum
import typing

__all__ = ["Head", "HeaderCodec", "Verdict"]


class Verdict(enum.Enum):
    """Classification of a server's answer by its head."""

    ANSWER = "answer"
    # The server says that it did not run the request.
    NOT_RUN = "not_run"
    # Another server uses the address.
    MISDIRECTED = "misdirected"
    # The answer to an earlier request on this connection.
    WRONG_REQUEST = "foreign"
    # A working server sends no such answer.
    MALFORMED = "garbled"


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
        """Return the first value of a header, or None.

        ``name`` is in lowercase.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderCodec:
    """Functions that parse and write the headers of a deployment.

    ``read_request(head, body)`` returns a model.Request, or raises ValueError
    with the reason for a response 400. ``server_headers(head, send,
    last_event_id)`` returns the headers of a request to a server, without the
    framing. ``classify(request, head)`` returns a Verdict, and so does
    ``classify_relayed`` for the answer of another host. ``load(head)`` returns
    (running, waiting, slots, work_percent) or None, and ``hints(head)`` a
    model.Hints. ``work_percent`` says how long work takes at this moment, 100
    if it takes as long as usual or the server doesn't say.
    ``stamped(head)`` returns whether an answer carries a server's stamp.
    ``answer_headers(head, keep_stamp)`` returns the headers of an answer to
    the caller, and ``id_headers(request, head)`` those by which a host that
    relayed the request knows it for a server's. ``server_id(head)`` returns
    the id of the server that answered, None if it doesn't say.
    """

    read_request: typing.Callable
    server_headers: typing.Callable
    classify: typing.Callable
    classify_relayed: typing.Callable
    load: typing.Callable
    hints: typing.Callable
    stamped: typing.Callable
    answer_headers: typing.Callable
    id_headers: typing.Callable = lambda request, head: []
    server_id: typing.Callable = lambda head: None
