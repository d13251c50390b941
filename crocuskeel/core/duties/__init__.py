"""Duties: tasks for the platform that one host at a time carries out.

The host that holds the lease (:mod:`crocuskeel.core.leadership`) reports
the usage of each workspace and orders engines. Each host counts the
requests that it had engines begin, and sends the counts to the holder.
"""

from crocuskeel.core.duties.model import Order
from crocuskeel.core.duties.model import Report
from crocuskeel.core.duties.model import Usage
from crocuskeel.core.duties.state import Duties
from crocuskeel.core.duties.state import Leader
from crocuskeel.core.duties.state import new_duties

__all__ = ["Duties", "Leader", "Order", "Report", "Usage", "new_duties"]
