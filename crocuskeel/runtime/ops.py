"""The operators' HTTP interface under ``/ops/``.

Other modules add operations with :func:`register`.
"""

import dataclasses
import typing

from twisted.internet import defer

from crocuskeel.core import follower
from crocuskeel.core import problems
from crocuskeel.runtime import parsing
from crocuskeel.runtime import problem_bodies

__all__ = ["CHANGE", "OpsRequest", "READ", "register", "serve"]

READ = "read"
CHANGE = "change"


@dataclasses.dataclass(frozen=True, slots=True)
class OpsRequest:
    """Input of an operation; ``args`` has the last value of each key."""

    caller: typing.Any
    args: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Operation:
    role: str
    run: typing.Callable


def register(ctx, method, name, role, run):
    """Add ``METHOD /ops/NAME`` for callers that have ``role``.

    ``run(ctx, ops_request)`` returns the JSON response, a Deferred of
    it, or a :class:`problems.Problem`.
    """
    ctx.ops[(method.encode(), name)] = _Operation(role, run)


def serve(ctx, req, name):
    """Answer a request under ``/ops/``."""
    operation = ctx.ops.get((req.method, name))
    if operation is None:
        return _refuse(req, problems.new_problem(
            problems.Reason.BAD_REQUEST, detail=f"no operation {name}"))
    caller = follower.caller(ctx.daemon, parsing.token_hash(req))
    if caller is None or operation.role not in caller.roles:
        return _refuse(req, problems.new_problem(
            problems.Reason.UNAUTHORIZED,
            detail=f"the role {operation.role} is needed"))
    args = {key.decode("latin-1"): values[-1].decode("latin-1")
            for key, values in req.args.items()}
    ops_request = OpsRequest(caller, args, req.content.read())
    deferred = defer.maybeDeferred(operation.run, ctx, ops_request)
    deferred.addCallback(lambda result: _write_result(req, result))
    return deferred


def _write_result(req, result):
    if isinstance(result, problems.Problem):
        return _refuse(req, result)
    problem_bodies.write_json(req, result)
    return defer.Deferred()


def _refuse(req, problem):
    problem_bodies.write_problem(req, problem)
    return defer.Deferred()
