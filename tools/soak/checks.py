"""What must hold of each answer, from what callers and servers see."""

from tools.soak import engine

__all__ = ["judge"]

NOT_RUN = (408, 421, 429, 503)


def judge(kind, rid, status, body, runs):
    """Return what is wrong with an answer, in words; empty if nothing.

    ``status`` 0 says that no whole answer came. ``runs`` holds the
    servers that ran the request.
    """
    wrong = []
    if status == 200 and not _is_whole(kind, rid, body):
        wrong.append("an answer is not the whole of its own request")
    if status in NOT_RUN and runs:
        wrong.append("said not to have run, and ran")
    if kind == "unsafe" and len(runs) > 1:
        wrong.append("ran more than once")
    if kind != "unsafe" and len(runs) > 2:
        wrong.append("ran on more servers than its route allows")
    return wrong


def _is_whole(kind, rid, body):
    if kind != "stream":
        return body == b"answer to " + rid.encode()
    wanted = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, rid.encode())
        for number in range(1, engine.EVENTS + 1))
    return body == wanted
