"""Runs one command and prints its result."""

import json

from crocuskeel.ctl import arguments
from crocuskeel.ctl import client as clients
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from result import Err
from result import Ok

__all__ = ["connection", "parse", "print_result", "run"]

_HOSTS = "CROCUSKEELCTL_HOSTS"
_TOKEN = "CROCUSKEELCTL_TOKEN"
_TOKEN_FILE = "CROCUSKEELCTL_TOKEN_FILE"


def connection(args, environ, read_text, send):
    """Return Ok(Client) or Err(Failure).

    The token comes from a file or the environment, never from the
    command line, which other users of the machine can read.
    """
    hosts = tuple(args.host) or _hosts_of(environ)
    if args.offline or _reads_files(args):
        return Ok(clients.Client((), "", send))
    if not hosts:
        return Err(Failure(
            Code.USAGE, "no entry hosts given",
            f"Give --host ADDRESS:PORT or set {_HOSTS}."))
    token = _token(args, environ, read_text)
    return token.map(lambda text: clients.Client(hosts, text, send))


def _reads_files(args):
    return bool(getattr(args, "files", None) or getattr(args, "file", None)
                and args.command == "explain")


def _hosts_of(environ):
    listed = environ.get(_HOSTS, "").split(",")
    return tuple(host.strip() for host in listed if host.strip())


def _token(args, environ, read_text):
    name = args.token_file or environ.get(_TOKEN_FILE, "")
    if not name and environ.get(_TOKEN):
        return Ok(environ[_TOKEN].strip())
    if not name:
        return Err(Failure(
            Code.USAGE, "no operator token given",
            f"Give --token-file FILE or set {_TOKEN_FILE} or {_TOKEN}."))
    try:
        return Ok(read_text(name).strip())
    except (OSError, UnicodeDecodeError) as exc:
        return Err(Failure(Code.USAGE, f"{name}: {exc}"))


async def run(args, session):
    """Run the parsed command: Ok(Report) or Err(Failure)."""
    return await args.run(session, args)


def print_result(result, as_json, out, err):
    """Print a result to the streams; return the exit code."""
    if result.is_ok():
        return _print_report(result.unwrap(), as_json, out, err)
    failure = result.unwrap_err()
    if as_json:
        body = {"error": failure.message, "hint": failure.hint,
                "code": int(failure.code), "data": failure.data}
        print(json.dumps(body), file=out)
    else:
        print(f"crocuskeelctl: {failure}", file=err)
    return int(failure.code)


def _print_report(report, as_json, out, err):
    for note in report.notes:
        print(f"note: {note}", file=err)
    if as_json:
        print(json.dumps(report.data), file=out)
    else:
        print(report.text, end="", file=out)
    return int(Code.OK)


def parse(argv):
    """Return the parsed command line; exits with 2 if it is invalid."""
    return arguments.new_parser().parse_args(argv)
