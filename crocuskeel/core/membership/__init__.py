"""Membership of the entry hosts: a SWIM-like gossip protocol."""

from crocuskeel.core.membership.handlers import handle
from crocuskeel.core.membership.handlers import record_contact
from crocuskeel.core.membership.state import all_members
from crocuskeel.core.membership.state import died_at
from crocuskeel.core.membership.state import has_left
from crocuskeel.core.membership.state import is_live
from crocuskeel.core.membership.state import live
from crocuskeel.core.membership.state import member_info
from crocuskeel.core.membership.state import MembershipState
from crocuskeel.core.membership.state import new_state
from crocuskeel.core.membership.state import set_load

__all__ = ["MembershipState", "all_members", "died_at", "handle", "has_left",
           "is_live", "live", "member_info", "new_state", "record_contact",
           "set_load"]
