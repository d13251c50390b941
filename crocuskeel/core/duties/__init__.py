"""Duties towards the platform that one host holds at a time.

The holder of the lease (:mod:`crocuskeel.core.leadership`) reports how
much each workspace used, and orders engines. All hosts count what they
had engines begin and tell the holder.
"""

from crocuskeel.core.duties.model import Order
from crocuskeel.core.duties.model import Report
from crocuskeel.core.duties.model import Usage
from crocuskeel.core.duties.state import Duties
from crocuskeel.core.duties.state import Leader
from crocuskeel.core.duties.state import new_duties

__all__ = ["Duties", "Leader", "Order", "Report", "Usage", "new_duties"]
