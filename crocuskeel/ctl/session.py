"""The dependencies of every command."""

import dataclasses
import typing

from crocuskeel.ctl import client as clients

__all__ = ["Session"]


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Clock, client and files, passed in so that tests can replace them.

    ``wall_clock()`` returns the Unix time in seconds; ``read_text(name)``
    returns a file's text and ``write_text(name, text)`` writes one; both raise
    OSError.
    """

    reactor: typing.Any
    client: clients.Client
    wall_clock: typing.Callable[[], float]
    read_text: typing.Callable[[str], str]
    write_text: typing.Callable[[str, str], None]
