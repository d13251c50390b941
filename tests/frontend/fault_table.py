"""Fault tables of the entry host.

A row has a request, the steps that follow, and the complete list of
expected effects without timers, records and metrics. ``failure`` is
what a user would see without the mechanism under test.
"""

import dataclasses

from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.core import quarantine
from tests.frontend import driver

BOOK = {"class_name": "book", "key": "k", "stream": False}
PLAIN = {"stream": False}
BULK = {"class_name": "bulk"}


@dataclasses.dataclass(frozen=True)
class Row:
    """One fault; ``expect`` has labels separated by ", "."""

    name: str
    failure: str
    request: dict
    steps: tuple
    expect: str
    max_requests: int = 50


def granted(engine="e1"):
    return lambda host, rid: host.grant(rid, engine)


def claimed(status="granted", **extra):
    return lambda host, rid: host.claim(rid, status, **extra)


def opened():
    return lambda host, rid: host.opened(rid)


def closed(end, **extra):
    return lambda host, rid: host.closed(rid, end, **extra)


def resume_ends(end, **extra):
    """The resume timer fires, then the resumed attempt ends."""
    return lambda host, rid: (host.advance(1.0),
                              host.closed(rid, end, **extra))


def caller_leaves():
    return lambda host, rid: host.feed(events.CallerGone(rid))


def wait(seconds):
    return lambda host, rid: host.advance(seconds)


def new_request(**request):
    return lambda host, rid: host.arrive(**request)


def resume_stream(stream="", workspace="north"):
    """A caller resumes its stream with Last-Event-ID."""
    return lambda host, rid: host.feed(events.ResumeArrived(
        "h1.1.99", driver.token(workspace), stream or rid, 1, "e1", 3,
        "proof"))


def resumed_stream_ends(end, attempt):
    return lambda host, rid: host.closed("h1.1.99", end, attempt)


def leaving(*names):
    return lambda host, rid: host.list_servers(names, at=2)


def verdict(status):
    return lambda host, rid: quarantine.handle(
        host.daemon, events.Received("h2", 1, messages.CrashSeen(
            "e1", status, ("f",))), host.now)


def peer_event(event):
    return lambda host, rid: host.feed(event(host))


def dispatcher_disconnects():
    return peer_event(lambda host: events.PeerDown(host.owner("llm/0")))


def dispatcher_reconnects():
    return peer_event(lambda host: events.PeerUp(host.owner("llm/0"), 2))


def dispatcher_fails():
    def step(host, rid):
        failed = host.owner("llm/0")
        other = "h2" if failed == "h3" else "h3"
        # A host is accepted as dead only after it was suspect for a while.
        host.receive_members(
            other, driver.member(failed, "suspect"), seconds_ago=60.0)
        host.receive_members(other, driver.member(failed, "dead"))
        host.advance(0.5)
    return step


def receive_message(build, sender=""):
    """A peer's message built from (host, rid); default: dispatcher."""
    return lambda host, rid: host.receive(
        sender or host.owner("llm/0"), build(host, rid))


def grant_of(attempt, engine, sender=""):
    return receive_message(lambda host, rid: messages.Grant(
        rid, attempt, "llm/0", engine), sender)


def refusal(attempt, reason):
    return receive_message(lambda host, rid: messages.Refusal(
        rid, attempt, "llm/0", reason, 2.0))


def late_claim():
    key = driver.claim_key("north", "k")
    return receive_message(lambda host, rid: messages.ClaimAnswer(
        rid, key, "granted"), "h2")


CALLER = (
    Row("disconnects_waiting", "An engine works for a caller that has "
        "disconnected.",
        {}, (caller_leaves(), grant_of(1, "e1")),
        "enqueue, withdraw, release e1 cancelled"),
    Row("disconnects_running", "A slot stays occupied by an answer that "
        "nobody reads.",
        PLAIN, (granted(), caller_leaves()),
        "enqueue, open e1, cancel, release e1 cancelled"),
    Row("disconnects_booking", "A booking's answer is lost when its caller "
        "disconnects; the resend would book twice.",
        BOOK, (granted("d1"), claimed(), caller_leaves(), wait(9.0),
               new_request(**BOOK), opened(), closed("done")),
        "enqueue, claimask, open d1, replay, release d1 done, "
        "settle ran"),
    Row("stream_resumed", "A caller loses its connection for a second and "
        "its stream is cancelled meanwhile.",
        {}, (granted(), opened(), caller_leaves(), wait(1.0), resume_stream(),
             wait(9.0), closed("done")),
        "enqueue, open e1, replay, release e1 done"),
    Row("stream_not_resumed", "The stream of a caller that never resumes it "
        "occupies a slot to its end.",
        {}, (granted(), opened(), caller_leaves(), wait(4.0)),
        "enqueue, open e1, cancel, release e1 cancelled"),
    Row("other_content", "A reused key gets the answer of another booking.",
        BOOK, (new_request(**{**BOOK, "digest": "other"}),),
        "enqueue, answer key_mismatch not_run"),
    Row("other_workspace", "Two workspaces that use one key are mixed up.",
        BOOK, (new_request(**BOOK, workspace="south"),), "enqueue, enqueue"),
    Row("other_workspace_stream", "A caller resumes the stream of another "
        "workspace.",
        {}, (granted(), opened(), resume_stream(workspace="south")),
        "enqueue, open e1, answer stream_unknown unknown"),
    Row("resumed_at_other_host", "A caller resumes at another host than the "
        "stream's own, which has lost the stream.",
        {}, (resume_stream("h2.1.7"), resumed_stream_ends("gone", 0),
             resumed_stream_ends("gone", 1)),
        "enqueue, replay from h2, resume e1, "
        "answer stream_unknown unknown"),
    Row("stream_host_failed", "The stream's host failed; the engine "
        "continues.",
        {}, (resume_stream("h9.1.7"), resumed_stream_ends("broken", 1),
             resumed_stream_ends("done", 1)),
        "enqueue, resume e1, resume e1"),
    Row("full_of_lower_tiers", "Bulk requests fill the host, and a request of "
        "a higher tier is refused in their favor.",
        BULK, (new_request(**BULK), new_request(), new_request(**BULK)),
        "enqueue, enqueue, answer overload not_run, withdraw, enqueue, "
        "answer overload not_run", max_requests=2),
    Row("no_key", "A booking without a key can't be distinguished "
        "from its resend.", {**BOOK, "key": ""}, (),
        "answer key_required not_run"),
    Row("late_waiting", "An answer that is too late to be useful is sent.",
        {}, (wait(11.0),),
        "enqueue, answer deadline not_run, withdraw"),
    Row("late_running", "An engine continues an answer that is too late "
        "to be useful, or it is wrongly reported as not_run.",
        {}, (granted(), wait(11.0)),
        "enqueue, open e1, cancel, release e1 cancelled, "
        "answer deadline unknown"),
    Row("late_delivered", "A late bulk request is dropped although still "
        "wanted, or waits forever.",
        BULK, (wait(39.0), granted(), closed("done")),
        "enqueue, open e1, release e1 done"),
    Row("late_ungranted", "As above, without a grant.",
        BULK, (wait(41.0),),
        "enqueue, answer deadline not_run, withdraw"),
)

ENGINE = (
    Row("refuses", "An engine that is down fails requests that never ran.",
        {}, (granted(), closed("refused")),
        "enqueue, open e1, release e1 refused, enqueue -e1"),
    Row("unready_booking", "A server in maintenance fails a booking.",
        BOOK, (granted("d1"), claimed(), closed("unready"), granted("d2")),
        "enqueue, claimask, open d1, release d1 unready, enqueue -d1, "
        "open d2"),
    Row("busy_booking", "A full server fails a booking, or it is claimed "
        "twice and refused as a duplicate of itself.",
        BOOK, (granted("d1"), claimed(), closed("busy"), granted("d2")),
        "enqueue, claimask, open d1, release d1 busy, enqueue -d1, "
        "open d2"),
    Row("all_busy", "A request is retried on full servers forever.",
        {}, (granted(), closed("busy")) * 4,
        "enqueue, open e1, release e1 busy, " + "enqueue -e1, open e1, "
        "release e1 busy, " * 3 + "answer overload not_run"),
    Row("connection_lost_early", "A crash before the first byte fails a "
        "request that another engine could answer.",
        {}, (granted(), closed("broken"), resume_ends("refused")),
        "enqueue, open e1, resume e1, release e1 broken, enqueue -e1"),
    Row("connection_lost_late", "After a lost connection the request runs "
        "again, and its caller gets the start of the answer twice.",
        {}, (granted(), opened(), closed("broken", forwarded=3),
             resume_ends("broken", forwarded=3), resume_ends("done")),
        "enqueue, open e1, resume e1, resume e1, release e1 done"),
    Row("engine_crashes_late", "A crash after the first tokens starts another "
        "answer in the middle of the first.",
        {}, (granted(), opened(), closed("broken", forwarded=3),
             resume_ends("gone", forwarded=3)),
        "enqueue, open e1, resume e1, release e1 broken, "
        "answer backend_lost ran"),
    Row("booking_lost", "The service books and its answer is lost; a "
        "retry or the resend books again.",
        BOOK, (granted("d1"), claimed(), closed("broken"),
               new_request(**BOOK)),
        "enqueue, claimask, open d1, cancel, release d1 broken, "
        "answer backend_lost unknown, settle unknown, "
        "answer duplicate unknown"),
    Row("stalled_connection_404", "As below, but the engine's 404 to the "
        "resume is treated as a client error, and the caller gets no answer.",
        {}, (granted(), closed("silent"),
             resume_ends("gone", http_status=404)),
        "enqueue, open e1, resume e1, release e1 silent, enqueue -e1"),
    Row("stalled_connection", "A connection is dead without being closed, and "
        "its request waits for an answer that can't arrive.",
        {}, (granted(), closed("silent"), resume_ends("gone")),
        "enqueue, open e1, resume e1, release e1 silent, enqueue -e1"),
    Row("budget_spent", "Retries multiply the load during an outage.",
        {**BULK, "stream": False}, (granted(), closed("broken")),
        "enqueue, open e1, cancel, release e1 broken, "
        "answer backend_lost unknown"),
    Row("client_error", "A request that every engine rejects is run on "
        "each of them.",
        PLAIN, (granted(), closed("failed", http_status=400)),
        "enqueue, open e1, release e1 failed, "
        "answer backend_failed unknown"),
    Row("engine_leaves", "A leaving engine gets new work from an old grant.",
        {}, (leaving("e1"), granted("e1"), granted("e2")),
        "enqueue, release e1 cancelled, enqueue -e1, open e2"),
    Row("outdated_grants", "A dispatcher with an outdated host list grants "
        "the leaving engine repeatedly without delay.",
        {}, (leaving("e1"), *[granted("e1")] * 9),
        "enqueue, " + "release e1 cancelled, enqueue -e1, " * 8
        + "release e1 cancelled, answer no_backend not_run"),
    Row("engine_leaves_during_claim", "As above, while the claim is being "
        "recorded; the booking is then claimed twice.",
        BOOK, (granted("d1"), leaving("d1"), claimed(), granted("d2")),
        "enqueue, claimask, release d1 cancelled, enqueue -d1, open d2"),
    Row("poison", "A request that crashes engines is retried on the "
        "next one, or its caller is told that it did not run.",
        PLAIN, (granted(), verdict("quarantined"), closed("broken")),
        "enqueue, open e1, cancel, release e1 broken, "
        "answer quarantined unknown"),
)

PEER = (
    Row("dispatcher_fails", "The queue is lost when its dispatcher fails.",
        {}, (dispatcher_fails(), granted()),
        "enqueue, reregister 1+0, open e1"),
    Row("dispatcher_unreachable", "A host that can't reach its dispatcher "
        "refuses all requests, or floods the engines without a limit.",
        {}, (*[new_request()] * 7, dispatcher_disconnects(), wait(1.4)),
        "enqueue, " * 8 + "reregister 8+0, reregister 8+0, "
        + ", ".join(f"open {name}" for name in
                    ("e1", "e2", "e3", "e2", "e3", "e1"))),
    Row("connection_remade", "A message lost with a connection leaves "
        "its request waiting forever.",
        {}, (dispatcher_disconnects(), dispatcher_reconnects(), wait(2.0)),
        "enqueue, reregister 1+0"),
    Row("grant_twice", "One request holds two slots forever.",
        {}, (granted("e1"), grant_of(1, "e1"), grant_of(1, "e2")),
        "enqueue, open e1, release e2 cancelled, reregister 0+1"),
    Row("grant_late", "An old grant runs a request a second time.",
        {}, (granted(), closed("refused"), grant_of(1, "e2")),
        "enqueue, open e1, release e1 refused, enqueue -e1, "
        "release e2 cancelled"),
    Row("grant_from_former", "Two dispatchers grant one request.",
        {}, (grant_of(1, "e2", sender="h9"),),
        "enqueue, release e2 cancelled"),
    Row("not_dispatcher", "Hosts disagree on the owner for a while and "
        "the request is in no dispatcher's queue.",
        {}, (receive_message(
            lambda host, rid: messages.NotDispatcher("llm/0")), wait(0.6)),
        "enqueue, reregister 1+0"),
    Row("refused_after_run", "A retry is shed and its caller gets not_run "
        "for a request that did run.",
        PLAIN, (granted(), closed("broken"), refusal(1, "overload"),
                refusal(2, "overload")),
        "enqueue, open e1, cancel, release e1 broken, enqueue -e1, "
        "answer overload unknown"),
    Row("claim_answer_lost", "The claim is recorded but its answer is lost, "
        "and the booking is refused as a duplicate of itself.",
        BOOK, (granted("d1"), wait(0.6),
               claimed("duplicate", holder_rid="h1.1.1")),
        "enqueue, claimask, claimask, open d1"),
    Row("claim_late", "A claim granted after its request was answered "
        "records a run that never took place, or starts it.",
        BOOK, (granted("d1"), wait(3.1), late_claim(),
               receive_message(lambda host, rid: messages.ClaimAnswer(
                   rid, driver.claim_key("north", "k"), "absent"), "h2")),
        "enqueue, " + "claimask, " * 6 + "release d1 cancelled, "
        "settle not_run, claimlook, settle not_run, "
        "answer claim_unavailable not_run"),
    Row("claim_held", "A resend at another host books again, or never "
        "gets the outcome of the first request.",
        BOOK, (granted("d1"), claimed(
            "duplicate", holder_host="h2", holder_rid="h2.1.4"),
            lambda host, rid: host.closed(rid, "gone", 0)),
        "enqueue, claimask, release d1 cancelled, replay from h2, "
        "answer duplicate unknown"),
    Row("reregister_when_empty", "A slot of an ended request stays occupied "
        "at a new dispatcher.",
        {}, (caller_leaves(), receive_message(
            lambda host, rid: messages.ReregisterAsk("llm/0"))),
        "enqueue, withdraw, reregister 0+0"),
)
