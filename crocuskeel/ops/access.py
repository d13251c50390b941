"""Who may ask, and who may change: operators' tokens and roles.

A token's roles stand in the settings beside its hash. ``change``
includes ``read``. A token that only calls has neither.
"""

import dataclasses
import enum

from result import Err
from result import Ok

from crocuskeel.core import follower

__all__ = ["Denied", "Role", "author_of", "check"]


class Role(enum.StrEnum):
    """What an operator's token allows."""

    READ = "read"
    CHANGE = "change"


_ENOUGH = {
    Role.READ: frozenset({Role.READ, Role.CHANGE}),
    Role.CHANGE: frozenset({Role.CHANGE}),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Why an operator is turned away; ``status`` is the HTTP one."""

    status: int
    code: str
    detail: str


_NO_SETTINGS = Denied(
    503, "not_ready", "this host has no settings yet, so it knows no "
    "token; ask another host, or store the first settings with "
    "crocuskeelctl settings init")
_UNKNOWN = Denied(
    401, "unauthorized", "no such token in the settings in force")


def check(daemon, token_sha256, role):
    """Return Ok of the token's ``conf.CallerIdentity`` or Err(Denied).

    ``token_sha256`` is the hex SHA-256 of the bearer token, empty if
    there was none.
    """
    if daemon.follower.tree is None:
        return Err(_NO_SETTINGS)
    identity = follower.caller(daemon, token_sha256)
    if identity is None:
        return Err(_UNKNOWN)
    if _ENOUGH[role].isdisjoint(identity.roles):
        return Err(_forbidden(identity, role))
    return Ok(identity)


def _forbidden(identity, role):
    has = ", ".join(identity.roles) or "none"
    return Denied(
        403, "forbidden", f"{author_of(identity)} has roles {has}; this "
        f"needs {role}: add it to the token's roles in the settings")


def author_of(identity):
    """Return the name under which an operator's batches are kept."""
    return f"{identity.workspace}/{identity.caller}"
