"""Deployments to play: JSON with comments, checked as it is read."""

import dataclasses
import pathlib

from crocuskeel.programs import config_files
from emulator import faults

__all__ = ["BadDeployment", "Deployment", "Engines", "Fault", "Kind",
           "Plain", "known", "read"]

REQUESTS = ("stream", "safe", "unsafe")
FAULTS = tuple(faults.FAULTS)
FOLDER = pathlib.Path(__file__).parent / "deployments"


class BadDeployment(config_files.InvalidFileError):
    """A file that can't be played."""


@dataclasses.dataclass(frozen=True, slots=True)
class Engines:
    """Model engines: tokens, tokens a second, milliseconds.

    A step makes a token for each running request and takes ``step_ms``
    and ``running_ms`` more for each. ``chunk`` tokens of prompts are read
    between two steps. ``fetch_token_us`` passes for each token that one
    engine sends another; 0 if they don't.
    """

    count: int = 6
    slots: int = 64
    memory: int = 500_000
    read_tokens_s: float = 45_000.0
    step_ms: float = 2.6
    running_ms: float = 0.12
    chunk: int = 1_000
    event_tokens: int = 6
    fetch_token_us: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plain:
    """Servers of a plain service; each works on ``slots`` calls at once."""

    count: int = 3
    slots: int = 6
    work_ms: float = 45.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: ``stream``, ``safe`` or ``unsafe``.

    ``a_second`` come in the mean. Prompts share ``shared`` tokens among
    ``subjects``; ``own`` more follow. ``worth`` is earned on time,
    ``late`` by an answer after ``goal_ms`` or with a pause over
    ``gap_ms``. Callers come back ``retries`` times after a refusal.
    """

    name: str
    kind: str
    a_second: float
    priority: int = 0
    shared: int = 0
    own: int = 0
    subjects: int = 50
    events: int = 0
    goal_ms: float = 1_000.0
    gap_ms: float = 400.0
    limit_ms: float = 6_000.0
    worth: float = 1.0
    late: float = 0.3
    retries: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """``kind`` of :mod:`emulator.faults`, at ``at`` s, for ``for_s``.

    ``count`` engines are hit, or the load is ``times`` as much; with
    ``limit`` an engine takes ``times`` requests a second, with ``rest`` it
    asks for ``times`` s of rest.
    """

    kind: str
    at: float
    for_s: float = 3.0
    count: int = 1
    times: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """``way_ms`` is a message's time between any two processes."""

    name: str
    hosts: int
    seconds: float
    way_ms: float
    engines: Engines
    plain: Plain
    kinds: tuple
    faults: tuple


def known():
    """Return the names of the deployments that come with the emulator."""
    return sorted(path.stem for path in FOLDER.glob("*.jsonc"))


def read(name):
    """Return a Deployment, of a known name or a file's path.

    Raises BadDeployment, or OSError for a file that can't be read.
    """
    path = FOLDER / f"{name}.jsonc"
    if not path.exists():
        path = pathlib.Path(name)
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as exc:
        raise BadDeployment([config_files.FileError(
            "emulator.E001", f"not JSON with comments: {exc}",
            "write it in UTF-8")]) from exc
    found = config_files.parse_object(text, "emulator", BadDeployment)
    return _deployment(path.stem, found)


def _deployment(name, found):
    problems = []
    made = Deployment(
        name=name,
        hosts=_number(found, "hosts", 6, problems),
        seconds=_number(found, "seconds", 30.0, problems),
        way_ms=_number(found, "way_ms", 1.0, problems),
        engines=_part(Engines, found.get("engines", {}), problems),
        plain=_part(Plain, found.get("plain", {}), problems),
        kinds=_parts(Kind, found.get("kinds"), problems),
        faults=_parts(Fault, found.get("faults", []), problems))
    unknown = set(found) - {field.name for field
                            in dataclasses.fields(Deployment)}
    problems += [_unknown(each) for each in sorted(unknown)]
    problems += _wrong_words(made)
    if not made.kinds:
        problems.append(config_files.FileError(
            "emulator.E005", "no kinds of requests",
            "name one at least under kinds"))
    if problems:
        raise BadDeployment(problems)
    return made


def _wrong_words(made):
    """Return the problems with what kinds and faults are said to be."""
    rows = [(kind.kind, REQUESTS) for kind in made.kinds]
    rows += [(fault.kind, FAULTS) for fault in made.faults]
    found = [config_files.FileError("emulator.E008", f"kind is {word!r}",
                                    f"one of {', '.join(words)}")
             for word, words in rows if word not in words]
    found += [
        config_files.FileError("emulator.E003",
                               f"a_second is {kind.a_second!r}",
                               "a number above zero")
        for kind in made.kinds if not kind.a_second]
    return found


def _number(found, name, default, problems):
    value = found.get(name, default)
    if not _fits(value, type(default)) or value <= 0:
        problems.append(config_files.FileError(
            "emulator.E003", f"{name} is {value!r}",
            f"a {type(default).__name__} above zero"))
        return default
    return value


def _parts(kind, rows, problems):
    if not isinstance(rows, list):
        problems.append(config_files.FileError(
            "emulator.E004", f"{rows!r} is no list", "write [ ... ]"))
        return ()
    return tuple(each for row in rows
                 if (each := _part(kind, row, problems)) is not None)


def _part(kind, row, problems):
    """Return a dataclass of a table's fields, or None."""
    fields = {field.name: field for field in dataclasses.fields(kind)}
    if not isinstance(row, dict):
        problems.append(config_files.FileError(
            "emulator.E004", f"{row!r} is no object", "write { ... }"))
        return None
    wrong = [_unknown(name) for name in row if name not in fields]
    for name, field in fields.items():
        if name in row and not _fits(row[name], field.type):
            wrong.append(config_files.FileError(
                "emulator.E003", f"{name} is {row[name]!r}",
                f"a {field.type.__name__} that is not negative"))
    needed = [name for name, field in fields.items()
              if field.default is dataclasses.MISSING and name not in row]
    wrong += [config_files.FileError("emulator.E006", f"{name} is missing",
                                     f"each {kind.__name__} has one")
              for name in needed]
    problems += wrong
    return None if wrong else kind(**row)


def _fits(value, kind):
    if isinstance(value, bool):
        return False
    if kind is float:
        return isinstance(value, (int, float)) and value >= 0
    if kind is int:
        return isinstance(value, int) and value >= 0
    return isinstance(value, kind)


def _unknown(name):
    return config_files.FileError("emulator.E007", f"{name} is not known",
                                  "see docs/howto/emulator.md for the names")
