"""The operator API of a daemon.

Functions that turn a daemon's state and its recent events into
responses (frozen dataclasses), and :func:`register`, which serves them
over HTTP.
"""

from crocuskeel.ops.access import check
from crocuskeel.ops.access import Denied
from crocuskeel.ops.access import Role
from crocuskeel.ops.binding import mount
from crocuskeel.ops.explanations import explain
from crocuskeel.ops.explanations import Explanation
from crocuskeel.ops.overview import Status
from crocuskeel.ops.overview import status
from crocuskeel.ops.routes import register
from crocuskeel.ops.routes import Runtime
from crocuskeel.ops.store import run_commit

__all__ = ["Denied", "Explanation", "Role", "Runtime", "Status", "check",
           "explain", "mount", "register", "run_commit", "status"]
