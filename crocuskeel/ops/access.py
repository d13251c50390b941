"""Access control of the operator API: tokens and their roles.

The settings store a token's roles next to its hash. ``change``
includes ``read``. A token that is used only to call services has neither.
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


_SUFFICIENT_ROLES = {
    Role.READ: frozenset({Role.READ, Role.CHANGE}),
    Role.CHANGE: frozenset({Role.CHANGE}),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Why access is denied; ``status`` is the HTTP status code."""

    status: int
    code: str
    detail: str


_NO_SETTINGS = Denied(
    503, "not_ready", "this host has no settings yet and cannot check "
    "tokens; ask another host, or store the initial settings with "
    "crocuskeelctl settings init")
_UNKNOWN_TOKEN = Denied(
    401, "unauthorized", "the settings in force contain no such token")


def check(daemon, token_sha256, role):
    """Return Ok of the token's ``conf.CallerIdentity`` or Err(Denied).

    ``token_sha256`` is the hex SHA-256 of the bearer token, empty if
    the request has none.
    """
    if daemon.follower.tree is None:
        return Err(_NO_SETTINGS)
    identity = follower.caller(daemon, token_sha256)
    if identity is None:
        return Err(_UNKNOWN_TOKEN)
    if _SUFFICIENT_ROLES[role].isdisjoint(identity.roles):
        return Err(_forbidden(identity, role))
    return Ok(identity)


def _forbidden(identity, role):
    roles = ", ".join(identity.roles) or "none"
    return Denied(
        403, "forbidden", f"{author_of(identity)} has roles {roles}; this "
        f"operation needs {role}: add it to the token's roles in the settings")


def author_of(identity):
    """Return the author name that is stored with an operator's batches."""
    return f"{identity.workspace}/{identity.caller}"
