"""Data types of the settings: tree, faults and resolved policies."""

import dataclasses
import enum
from typing import Any
from typing import Callable
from typing import Mapping

Path = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One validation error in a settings text or batch.

    ``id`` is stable (``conf.E101``); ``line`` counts from 1 and is None
    if there is no text, such as for a batch of edits.
    """

    id: str
    path: Path
    line: int | None
    message: str
    hint: str = ''

    def __str__(self) -> str:
        where = '.'.join(self.path) or '(top)'
        line = f'line {self.line}: ' if self.line else ''
        hint = f' ({self.hint})' if self.hint else ''
        return f'{line}{where}: {self.id} {self.message}{hint}'


@dataclasses.dataclass(frozen=True, slots=True)
class ClassPolicy:
    """The resolved settings of a class for one workspace.

    Times are in seconds. ``floor`` is a share of a cell's slots from 0 to
    1, ``retry_budget`` the retries allowed as a share of first attempts,
    ``weight`` the workspace's share relative to the others in its tier.
    """

    name: str
    workspace: str
    tier: int
    service: str
    kind: str
    target_ttft_s: float
    target_itl_s: float
    deadline_s: float
    late: str
    repeatable: bool
    hedge: bool
    floor: float
    max_tokens: int
    queue_limit: int
    retry_budget: float
    weight: float
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """One service: kind, models, slots per engine, fencing check."""

    name: str
    kind: str
    models: tuple[str, ...]
    max_slots_per_engine: int
    checks_fence: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerIdentity:
    """The caller that a bearer token identifies."""

    workspace: str
    caller: str
    roles: tuple[str, ...]


class Layer(enum.Enum):
    """The layers of inheritance, lowest precedence first."""

    BUILTIN = 'builtin'
    DEFAULT = 'default'
    WORKSPACE = 'workspace'
    CLASS = 'class'
    WORKSPACE_CLASS = 'workspace-class'


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a resolved value comes from; ``path`` is empty if built in."""

    layer: Layer
    path: Path
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """An immutable, content-addressed piece of the settings.

    ``digest`` is the hex SHA-256 of the canonical JSON; ``blob`` is that
    JSON compressed. The digest covers the uncompressed bytes, so that
    hosts with different builds of zlib agree on it.
    """

    digest: str
    blob: bytes = dataclasses.field(compare=False, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Lookups:
    """Bounded, cached readers of one tree (see ``tree.new_tree``)."""

    workspace: Callable[[str], Mapping[str, Any] | None]
    policy: Callable[[str, str], ClassPolicy | None]
    caller: Callable[[str], CallerIdentity | None]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Tree:
    """The settings of one generation; immutable.

    ``common`` holds every section but ``workspaces`` and must be treated
    as read-only. Workspaces stay compressed in ``shards`` (parts by shard
    number) and are decoded on demand. ``tokens`` is the packed index of
    token hashes (see ``crocuskeel.conf.tokens``).
    """

    generation: int
    common: Mapping[str, Any]
    shards: Mapping[int, Part]
    tokens: bytes
    decode: Callable[[Part], Mapping[str, Any]]
    lookups: Lookups
