"""The operators' command; its entry point is ``programs.ctl``."""

from crocuskeel.ctl.client import Client
from crocuskeel.ctl.main import connection
from crocuskeel.ctl.main import parse
from crocuskeel.ctl.main import print_result
from crocuskeel.ctl.main import run
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl.session import Session

__all__ = ["Client", "Code", "Failure", "Report", "Session", "connection",
           "parse", "print_result", "run"]
