"""Deployments to simulate: JSON with comments, validated on reading."""

import dataclasses
import pathlib

from crocuskeel.programs import config_files
from emulator import deployment_rules
from emulator import faults

__all__ = ["Deployment", "Engines", "Fault", "InvalidDeploymentError",
           "Kind", "Plain", "bundled_names", "read"]

REQUEST_KINDS = ("stream", "safe", "unsafe")
FAULTS = tuple(faults.FAULTS)
DEPLOYMENTS_DIR = pathlib.Path(__file__).parent / "deployments"


class InvalidDeploymentError(config_files.InvalidFileError):
    """A deployment file is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Engines:
    """Model engines: tokens, tokens a second, milliseconds.

    A step generates a token for each running request and takes
    ``step_ms`` plus ``running_ms`` for each. Up to ``chunk`` prompt tokens
    are prefilled between two steps. ``fetch_token_us`` is the transfer
    time of a token from one engine to another; 0 if they transfer none.

    ``speeds`` are dealt out to the engines in turn; one of speed 0.55 takes
    1 / 0.55 of the time for each step. Empty: all have 1.0. Each engine is
    slowed ``noise_times`` for a share ``noise_share`` of the time, in
    stretches of about ``noise_ms``.
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
    speeds: tuple = ()
    noise_share: float = 0.0
    noise_times: float = 1.0
    noise_ms: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plain:
    """Servers of a plain service; each runs up to ``slots`` calls at once."""

    count: int = 3
    slots: int = 6
    work_ms: float = 45.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: ``stream``, ``safe`` or ``unsafe``.

    ``a_second`` is the mean arrival rate. Prompts begin with ``shared``
    tokens, the same for all prompts of one of the ``subjects``; ``own``
    more follow. A response on time earns ``worth``, one after ``goal_ms``
    or with a gap over ``gap_ms`` earns ``late``. Callers retry up to
    ``retries`` times after a refusal, and take a stream up again up to
    ``resumes`` times, ``resume_ms`` after they lost its connection; a share
    ``resume_anew`` of them without the id of the last event. A request may
    be sent to ``servers``; a stream that may be sent to one only is not
    resumable. Streams have ``events`` events, or with a ``spread`` up to such
    a share of them fewer or more.
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
    resumes: int = 0
    servers: int = 2
    resume_ms: float = 50.0
    resume_anew: float = 0.0
    spread: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """``kind`` of :mod:`emulator.faults`, at ``at`` s, for ``for_s``.

    ``count`` is the number of engines or hosts affected; ``times`` is the
    factor on load or step time. With ``limit`` an engine accepts ``times``
    requests a second, with ``rest`` it asks for a backoff of ``times`` s.
    With ``break`` callers lose the connections of a share ``times`` of their
    streams. ``of`` is the name of the kind that ``class_burst`` is about.
    """

    kind: str
    at: float
    for_s: float = 3.0
    count: int = 1
    times: float = 1.0
    of: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """``way_ms`` is the one-way network delay between any two processes.

    Callers belong to one of ``workspaces``, with a key each; 0: they are
    anonymous. ``scheduling`` holds the settings of the hosts' scheduling
    by name; None: they have none. Callers are of one of ``clients``, with
    addresses of hosts of its own; 0: all have the same. A share
    ``keeps_addresses`` of them never asks for others, and a share
    ``keeps_connections`` uses connections for one caller after the other.
    """

    name: str
    hosts: int
    seconds: float
    way_ms: float
    engines: Engines
    plain: Plain
    kinds: tuple
    faults: tuple
    workspaces: int = 0
    scheduling: dict | None = None
    clients: int = 0
    keeps_addresses: float = 0.0
    keeps_connections: float = 0.0


def bundled_names():
    """Return the names of the bundled deployments."""
    return sorted(path.stem for path in DEPLOYMENTS_DIR.glob("*.jsonc"))


def read(name):
    """Return the Deployment of a bundled name or a file's path.

    Raises BadDeployment, or OSError if the file can't be read.
    """
    path = DEPLOYMENTS_DIR / f"{name}.jsonc"
    if not path.exists():
        path = pathlib.Path(name)
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as exc:
        raise InvalidDeploymentError([config_files.FileError(
            "emulator.E001", f"not JSON with comments: {exc}",
            "encode the file in UTF-8")]) from exc
    found = config_files.parse_object(text, "emulator", InvalidDeploymentError)
    return _parse_deployment(path.stem, found)


def _parse_deployment(name, found):
    problems = []
    deployment = Deployment(
        name=name,
        hosts=_parse_number(found, "hosts", 6, problems),
        seconds=_parse_number(found, "seconds", 30.0, problems),
        way_ms=_parse_number(found, "way_ms", 1.0, problems),
        engines=_parse_fields(Engines, found.get("engines", {}), problems),
        plain=_parse_fields(Plain, found.get("plain", {}), problems),
        kinds=_parse_list(Kind, found.get("kinds"), problems),
        faults=_parse_list(Fault, found.get("faults", []), problems),
        workspaces=_parse_count(found, "workspaces", problems),
        scheduling=found.get("scheduling"),
        clients=_parse_count(found, "clients", problems),
        keeps_addresses=_parse_share(found, "keeps_addresses", problems),
        keeps_connections=_parse_share(
            found, "keeps_connections", problems))
    unknown = set(found) - {field.name for field
                            in dataclasses.fields(Deployment)}
    problems += [_unknown_name(each) for each in sorted(unknown)]
    problems += _unknown_kinds(deployment)
    problems += deployment_rules.errors(deployment)
    if not deployment.kinds:
        problems.append(config_files.FileError(
            "emulator.E005", "no kinds of requests",
            "list at least one under kinds"))
    if problems:
        raise InvalidDeploymentError(problems)
    return deployment


def _unknown_kinds(deployment):
    """Return the errors in the kinds of requests and faults."""
    rows = [(kind.kind, REQUEST_KINDS) for kind in deployment.kinds]
    rows += [(fault.kind, FAULTS) for fault in deployment.faults]
    found = [config_files.FileError("emulator.E008", f"kind is {kind_name!r}",
                                    f"one of {', '.join(known_kinds)}")
             for kind_name, known_kinds in rows
             if kind_name not in known_kinds]
    found += [
        config_files.FileError("emulator.E003",
                               f"a_second is {kind.a_second!r}",
                               "a number above zero")
        for kind in deployment.kinds if not kind.a_second]
    return found


def _parse_number(found, name, default, problems):
    value = found.get(name, default)
    if not _is_valid(value, type(default)) or value <= 0:
        problems.append(config_files.FileError(
            "emulator.E003", f"{name} is {value!r}",
            f"a {type(default).__name__} above zero"))
        return default
    return value


def _parse_count(found, name, problems):
    value = found.get(name, 0)
    if not _is_valid(value, int):
        problems.append(config_files.FileError(
            "emulator.E003", f"{name} is {value!r}",
            "an int that is not negative"))
        return 0
    return value


def _parse_share(found, name, problems):
    value = found.get(name, 0.0)
    if not _is_valid(value, float) or value > 1:
        problems.append(config_files.FileError(
            "emulator.E003", f"{name} is {value!r}", "a number from 0 to 1"))
        return 0.0
    return value


def _parse_list(kind, rows, problems):
    if not isinstance(rows, list):
        problems.append(config_files.FileError(
            "emulator.E004", f"{rows!r} is not a list", "write [ ... ]"))
        return ()
    return tuple(each for row in rows
                 if (each := _parse_fields(kind, row, problems)) is not None)


def _parse_fields(kind, row, problems):
    """Return a dataclass of an object's fields, or None if invalid."""
    fields = {field.name: field for field in dataclasses.fields(kind)}
    if not isinstance(row, dict):
        problems.append(config_files.FileError(
            "emulator.E004", f"{row!r} is not an object", "write { ... }"))
        return None
    errors = [_unknown_name(name) for name in row if name not in fields]
    for name, field in fields.items():
        if name in row and not _is_valid(row[name], field.type):
            errors.append(config_files.FileError(
                "emulator.E003", f"{name} is {row[name]!r}",
                "a list of numbers above zero" if field.type is tuple
                else f"a {field.type.__name__} that is not negative"))
    needed = [name for name, field in fields.items()
              if field.default is dataclasses.MISSING and name not in row]
    errors += [config_files.FileError("emulator.E006", f"{name} is missing",
                                      f"each {kind.__name__} needs it")
               for name in needed]
    problems += errors
    if errors:
        return None
    return kind(**{name: tuple(value) if isinstance(value, list) else value
                   for name, value in row.items()})


def _is_valid(value, kind):
    if isinstance(value, bool):
        return False
    if kind is float:
        return isinstance(value, (int, float)) and value >= 0
    if kind is int:
        return isinstance(value, int) and value >= 0
    if kind is tuple:
        return isinstance(value, list) and all(
            _is_valid(each, float) and each > 0 for each in value)
    return isinstance(value, kind)


def _unknown_name(name):
    return config_files.FileError("emulator.E007", f"unknown name {name}",
                                  "see docs/howto/emulator.md for the names")
