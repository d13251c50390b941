"""Events about the memory of an entry host."""

import dataclasses

from crocuskeel.core.entry import model

__all__ = ["BodyAnnounced", "BodyReleased", "MemoryMeasured", "StreamPaused"]


@dataclasses.dataclass(frozen=True, slots=True)
class BodyAnnounced:
    """A request's head announces a large body of ``size`` bytes.

    Comes again with a larger size if a body of unknown length grows.
    ``request`` is read from the head alone.
    """

    key: int
    request: model.Request
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class BodyReleased:
    """An announced body isn't held any more."""

    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryMeasured:
    """Memory of this process, bytes.

    ``limit`` is the most that it may use, ``resident`` what it uses, None if
    that is unknown, and ``held`` how much of it requests and answers take.
    ``unsent`` is what callers have not read yet of their answers.
    """

    limit: int
    resident: int | None
    held: int
    unsent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPaused:
    """A stream isn't read, as its caller reads slowly, or is read again."""

    key: int
    attempt_number: int
    paused: bool
