"""``crocuskeelctl``: the command-line client for operators."""

import os
import pathlib
import sys
import time

from crocuskeel.programs import reactors

__all__ = ["main"]


def main(argv=None):
    """Run the command and exit with its code."""
    reactors.install()
    # Importing Klein or Twisted's task installs the default reactor, so
    # modules that import them are imported after ours is installed.
    from crocuskeel import ctl
    from twisted.internet import task

    args = ctl.parse(argv)
    code = []
    try:
        task.react(_start, (args, code))
    except SystemExit as exc:
        sys.exit(code[0] if code else exc.code)


async def _start(reactor, args, code):
    from crocuskeel import ctl
    from crocuskeel import objectapi

    send = objectapi.new_treq_send(reactor)
    client = ctl.connection(args, os.environ, _read_text, send)
    if client.is_err():
        result = client
    else:
        session = ctl.Session(
            reactor=reactor, client=client.unwrap(), wall_clock=time.time,
            read_text=_read_text, write_text=_write_text)
        result = await ctl.run(args, session)
    code.append(ctl.print_result(
        result, args.json, sys.stdout, sys.stderr))
    await send.pool.closeCachedConnections()


def _read_text(name):
    return pathlib.Path(name).read_text(encoding="utf-8")


def _write_text(name, text):
    pathlib.Path(name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
