"""Membership of the entry hosts: a SWIM-like gossip protocol."""

from crocuskeel.core.membership.handlers import handle
from crocuskeel.core.membership.handlers import hear
from crocuskeel.core.membership.state import everyone
from crocuskeel.core.membership.state import has_left
from crocuskeel.core.membership.state import info
from crocuskeel.core.membership.state import is_live
from crocuskeel.core.membership.state import live
from crocuskeel.core.membership.state import MembershipState
from crocuskeel.core.membership.state import new_state
from crocuskeel.core.membership.state import set_load

__all__ = ["MembershipState", "everyone", "handle", "has_left", "hear",
           "info", "is_live", "live", "new_state", "set_load"]
