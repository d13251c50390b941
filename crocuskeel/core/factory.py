"""Builds the state of a daemon."""

import random

from crocuskeel.core import backends
from crocuskeel.core import claims
from crocuskeel.core import dispatch
from crocuskeel.core import follower
from crocuskeel.core import frontend
from crocuskeel.core import membership
from crocuskeel.core import quarantine
from crocuskeel.core import state

__all__ = ["new_daemon"]


def new_daemon(identity, limits=None, seed=0, tree=None, wall_clock=None):
    """Return a :class:`state.Daemon` for ``identity``.

    ``tree`` is a parsed settings tree to start from (tests, trials);
    without it the daemon is not ready until it has read one. ``wall_clock``
    converts the runtime's time to Unix seconds. It is used only to refuse
    claims dated in the future and never causes a request to be run.
    """
    rng = random.Random(f"{identity.host}/{identity.incarnation}/{seed}")
    return state.Daemon(
        identity=identity,
        limits=limits or state.Limits(),
        rng=rng,
        follower=follower.new_state(tree),
        membership=membership.new_state(identity),
        backends=backends.new_state(),
        quarantine=quarantine.new_state(),
        dispatch=dispatch.new_state(),
        frontend=frontend.new_state(),
        claims=claims.new_state(
            identity.host, identity.incarnation, rng, wall_clock=wall_clock),
    )
