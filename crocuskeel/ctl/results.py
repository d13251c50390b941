"""Results of commands: reports, failures and exit codes."""

import dataclasses
import enum
import typing

__all__ = ["Code", "Failure", "Report"]


class Code(enum.IntEnum):
    """Exit codes; part of the public interface, never renumbered."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4
    FAULTS = 5
    UNKNOWN_OUTCOME = 6
    NOT_FOUND = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What to print: ``text`` for people, ``data`` for scripts.

    ``notes`` are printed on standard error.
    """

    text: str
    data: typing.Any
    notes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Why a command failed and how to fix it.

    ``data`` has details for scripts.
    """

    code: Code
    message: str
    hint: str = ""
    data: typing.Any = None

    def __str__(self):
        return f"{self.message}\n{self.hint}" if self.hint else self.message
