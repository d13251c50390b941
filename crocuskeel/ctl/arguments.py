"""The command line of ``crocuskeelctl``."""

import argparse

from crocuskeel.ctl import duty_logs
from crocuskeel.ctl import editing
from crocuskeel.ctl import overview
from crocuskeel.ctl import settings
from crocuskeel.ctl import tracing
from crocuskeel.ctl import waiting

__all__ = ["new_parser"]

_EPILOG = """\
exit codes: 0 success; 1 refused or conflict; 2 usage error; 3 no host
responded; 4 not in force in time; 5 errors in the settings; 6 outcome
unknown; 7 not found

environment: CROCUSKEELCTL_HOSTS (addresses, separated by commas),
CROCUSKEELCTL_TOKEN or CROCUSKEELCTL_TOKEN_FILE
"""


def new_parser():
    """Return the parser; ``args.run`` is the command's coroutine function."""
    parser = argparse.ArgumentParser(
        prog="crocuskeelctl", epilog=_EPILOG,
        description="Operate a crocuskeel deployment.",
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument(
        "--host", action="append", default=[], metavar="ADDRESS:PORT",
        help="address of an entry host; repeat it to add fallbacks")
    parser.add_argument(
        "--token-file", metavar="FILE",
        help="file with the operator's token (never on the command line)")
    parser.add_argument(
        "--json", action="store_true", help="print JSON for scripts")
    parser.set_defaults(offline=False)
    commands = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND")
    _add_settings(commands)
    _add_fleet(commands)
    _add_tracing(commands)
    return parser


def _add(commands, name, run, text, offline=False):
    command = commands.add_parser(name, help=text, description=text)
    command.set_defaults(run=run, offline=offline)
    return command


def _add_settings(commands):
    group = commands.add_parser(
        "settings", help="read, check and change the settings")
    sub = group.add_subparsers(
        dest="subcommand", required=True, metavar="COMMAND")
    _add_settings_queries(sub)
    _add_settings_changes(sub)


def _add_settings_queries(sub):
    get = _add(sub, "get", settings.get,
               "show values and where each was set")
    get.add_argument("workspace", nargs="?")
    get.add_argument("class_name", nargs="?", metavar="class")
    get.add_argument("key", nargs="?")
    check = _add(sub, "check", settings.check,
                 "check a settings file, offline", offline=True)
    check.add_argument("file")
    diff = _add(sub, "diff", settings.diff,
                "compare a settings file with the settings in force")
    diff.add_argument("file")
    log = _add(sub, "log", settings.log, "list recent batches")
    log.add_argument("--limit", type=int, default=20)
    wait = _add(sub, "wait", settings.wait,
                "wait until a generation is in force everywhere")
    wait.add_argument("generation", type=int, nargs="?")
    wait.add_argument("--within", type=float, metavar="SECONDS",
                      default=waiting.DEFAULT_TIMEOUT_S)


def _add_settings_changes(sub):
    edit = _add(sub, "edit", editing.edit, "change values as one batch")
    edit.add_argument("assignments", nargs="*", metavar="PATH=VALUE")
    edit.add_argument("--remove", action="append", default=[],
                      metavar="PATH")
    _add_base(edit)
    apply = _add(sub, "apply", editing.apply,
                 "send a file of edits as one batch")
    apply.add_argument("file")
    apply.add_argument(
        "--whole", action="store_true",
        help="the file is a complete settings file, not edits")
    _add_base(apply)
    revert = _add(sub, "revert", editing.revert,
                  "revert a generation with a new batch")
    revert.add_argument("generation", type=int)
    for command in (edit, apply, revert):
        _add_wait(command)
    init = _add(sub, "init", editing.init,
                "store the initial settings of a deployment", offline=True)
    init.add_argument("file")
    init.add_argument("--platform", required=True, metavar="URL")
    init.add_argument("--platform-token-file", required=True,
                      metavar="FILE")


def _add_base(command):
    command.add_argument(
        "--base", type=int, metavar="GENERATION",
        help="the generation that the edits are based on")


def _add_wait(command):
    command.add_argument(
        "--wait", type=float, nargs="?", metavar="SECONDS",
        const=waiting.DEFAULT_TIMEOUT_S,
        help="wait until the batch is in force on all hosts "
             f"(default timeout: {waiting.DEFAULT_TIMEOUT_S:g} s)")


def _add_fleet(commands):
    _add(commands, "status", overview.status,
         "show hosts, cells, engines, queues and classes")
    drain = _add(commands, "drain", overview.drain,
                 "stop a host after it has finished its requests")
    drain.add_argument("name", metavar="host")


def _add_tracing(commands):
    explain = _add(commands, "explain", tracing.explain,
                   "show what happened to one request")
    explain.add_argument("request")
    explain.add_argument("--file", action="append", default=[],
                         help="read a log file instead of the hosts' recent "
                              "events")
    duties = _add(commands, "duties", duty_logs.duties,
                  "show from logs which host holds the platform's duties "
                  "and how a usage window was handled")
    duties.add_argument("files", nargs="+", metavar="file")
    duties.add_argument("--window", type=int, metavar="NUMBER")
    timeline = _add(commands, "timeline", tracing.show_timeline,
                    "merge the events of log files or of live hosts")
    timeline.add_argument("files", nargs="*", metavar="file")
    for name in ("--request", "--batch", "--kind"):
        timeline.add_argument(name, action="append", default=[])
    timeline.add_argument("--on", action="append", default=[], metavar="HOST",
                          help="only events of this host")
    timeline.add_argument("--since", metavar="TIME",
                          help="5m (ago), ISO 8601 or Unix seconds")
    timeline.add_argument("--until", metavar="TIME")
    timeline.add_argument("--html", metavar="FILE",
                          help="write an HTML page instead of text")
