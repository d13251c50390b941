"""Fault tables of the door: one row a fault, as data.

A row is a request, the steps that follow, and the whole list of what
the door then does (timers, records and measures left out). ``story`` is
what a user would see go wrong without the mechanism.
"""

import dataclasses

from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.core import quarantine
from tests.door import driver

BOOK = {"class_name": "book", "key": "k", "stream": False}
PLAIN = {"stream": False}
BULK = {"class_name": "bulk"}


@dataclasses.dataclass(frozen=True)
class Row:
    """One fault; ``expect`` are labels, separated by ", "."""

    name: str
    story: str
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


def resumed(end, **extra):
    """The resume's timer fires, then the resume ends so."""
    return lambda host, rid: (host.advance(1.0),
                              host.closed(rid, end, **extra))


def gone():
    return lambda host, rid: host.feed(events.CallerGone(rid))


def wait(span):
    return lambda host, rid: host.advance(span)


def again(**request):
    return lambda host, rid: host.arrive(**request)


def asked_back(stream="", workspace="north"):
    """A caller comes back for its stream with Last-Event-ID."""
    return lambda host, rid: host.feed(events.ResumeArrived(
        "h1.1.99", driver.token(workspace), stream or rid, 1, "e1", 3,
        "proof"))


def back_ends(end, attempt):
    return lambda host, rid: host.closed("h1.1.99", end, attempt)


def leaving(*names):
    return lambda host, rid: host.list_servers(names, at=2)


def verdict(word):
    return lambda host, rid: quarantine.handle(
        host.daemon, events.Received("h2", 1, messages.CrashSeen(
            "e1", word, ("f",))), host.now)


def dispatcher(event):
    return lambda host, rid: host.feed(event(host))


def peer_lost():
    return dispatcher(lambda host: events.PeerDown(host.owner("llm/0")))


def peer_back():
    return dispatcher(lambda host: events.PeerUp(host.owner("llm/0"), 2))


def dies():
    def step(host, rid):
        dead = host.owner("llm/0")
        other = "h2" if dead == "h3" else "h3"
        # A death is believed only of a host suspected for a while.
        host.says(other, driver.member(dead, "suspect"), ago=60.0)
        host.says(other, driver.member(dead, "dead"))
        host.advance(0.5)
    return step


def told(make, sender=""):
    """A peer's message made from (host, rid), from the dispatcher."""
    return lambda host, rid: host.receive(
        sender or host.owner("llm/0"), make(host, rid))


def grant_of(attempt, engine, sender=""):
    return told(lambda host, rid: messages.Grant(
        rid, attempt, "llm/0", engine), sender)


def refusal(attempt, reason):
    return told(lambda host, rid: messages.Refusal(
        rid, attempt, "llm/0", reason, 2.0))


def late_claim():
    key = driver.claim_key("north", "k")
    return told(lambda host, rid: messages.ClaimAnswer(
        rid, key, "granted"), "h2")


CALLER = (
    Row("leaves_waiting", "An engine works for a caller who went home.",
        {}, (gone(), grant_of(1, "e1")),
        "enqueue, withdraw, release e1 cancelled"),
    Row("leaves_running", "A slot stays busy with what nobody reads.",
        PLAIN, (granted(), gone()),
        "enqueue, open e1, cancel, release e1 cancelled"),
    Row("leaves_booking", "A booking's answer is lost with its caller; "
        "the resend would book twice.",
        BOOK, (granted("d1"), claimed(), gone(), wait(9.0),
               again(**BOOK), opened(), closed("done")),
        "enqueue, claimask, open d1, replay, release d1 done, "
        "settle ran"),
    Row("comes_back", "A guide's phone loses the signal for a second and "
        "the briefing is cancelled meanwhile.",
        {}, (granted(), opened(), gone(), wait(1.0), asked_back(),
             wait(9.0), closed("done")),
        "enqueue, open e1, replay, release e1 done"),
    Row("stays_away", "The stream of a caller who never comes back "
        "holds a slot to its end.",
        {}, (granted(), opened(), gone(), wait(4.0)),
        "enqueue, open e1, cancel, release e1 cancelled"),
    Row("other_content", "A reused key answers with another booking.",
        BOOK, (again(**{**BOOK, "digest": "other"}),),
        "enqueue, answer key_mismatch not_run"),
    Row("other_workspace", "A key chosen by two firms mixes them up.",
        BOOK, (again(**BOOK, workspace="south"),), "enqueue, enqueue"),
    Row("others_stream", "A caller reads on in another firm's stream.",
        {}, (granted(), opened(), asked_back(workspace="south")),
        "enqueue, open e1, answer stream_unknown unknown"),
    Row("comes_here", "A caller comes back at another host than its "
        "own, which then turns out to have lost the stream.",
        {}, (asked_back("h2.1.7"), back_ends("gone", 0),
             back_ends("gone", 1)),
        "enqueue, replay from h2, resume e1, "
        "answer stream_unknown unknown"),
    Row("host_died", "The stream's host died; its engine goes on.",
        {}, (asked_back("h9.1.7"), back_ends("broken", 1),
             back_ends("done", 1)),
        "enqueue, resume e1, resume e1"),
    Row("full_of_lower", "Bulk work fills the host; a ramp briefing is "
        "turned away in its favour.",
        BULK, (again(**BULK), again(), again(**BULK)),
        "enqueue, enqueue, answer overload not_run, withdraw, enqueue, "
        "answer overload not_run", max_requests=2),
    Row("no_key", "A booking without a key can't be told from its "
        "resend.", {**BOOK, "key": ""}, (),
        "answer key_required not_run"),
    Row("late_waiting", "A briefing is sent when the group is gone.",
        {}, (wait(11.0),),
        "enqueue, answer deadline not_run, withdraw"),
    Row("late_unbegun", "An engine goes on with a worthless answer; "
        "calling it not run would be a lie.",
        {}, (granted(), wait(11.0)),
        "enqueue, open e1, cancel, release e1 cancelled, "
        "answer deadline unknown"),
    Row("late_delivered", "Late bulk work is dropped though wanted, or "
        "waits for ever.",
        BULK, (wait(39.0), granted(), closed("done")),
        "enqueue, open e1, release e1 done"),
    Row("late_for_good", "As above, without a grant.",
        BULK, (wait(41.0),),
        "enqueue, answer deadline not_run, withdraw"),
)

ENGINE = (
    Row("refuses", "An engine that is down fails what never ran.",
        {}, (granted(), closed("refused")),
        "enqueue, open e1, release e1 refused, enqueue -e1"),
    Row("unready_booking", "A server in maintenance makes a booking fail.",
        BOOK, (granted("d1"), claimed(), closed("unready"), granted("d2")),
        "enqueue, claimask, open d1, release d1 unready, enqueue -d1, "
        "open d2"),
    Row("busy_booking", "A full server makes a booking fail, or be "
        "claimed twice and told that it is its own duplicate.",
        BOOK, (granted("d1"), claimed(), closed("busy"), granted("d2")),
        "enqueue, claimask, open d1, release d1 busy, enqueue -d1, "
        "open d2"),
    Row("all_busy", "A request goes round full servers for ever.",
        {}, (granted(), closed("busy")) * 4,
        "enqueue, open e1, release e1 busy, " + "enqueue -e1, open e1, "
        "release e1 busy, " * 3 + "answer overload not_run"),
    Row("breaks_early", "A crash before the first byte fails a request "
        "that another engine could answer.",
        {}, (granted(), closed("broken"), resumed("refused")),
        "enqueue, open e1, resume e1, release e1 broken, enqueue -e1"),
    Row("breaks_late", "A broken connection is run anew, and its caller "
        "gets two beginnings.",
        {}, (granted(), opened(), closed("broken", forwarded=3),
             resumed("broken", forwarded=3), resumed("done")),
        "enqueue, open e1, resume e1, resume e1, release e1 done"),
    Row("crashes_late", "A crash after the first words starts another "
        "answer in the middle of the first.",
        {}, (granted(), opened(), closed("broken", forwarded=3),
             resumed("gone", forwarded=3)),
        "enqueue, open e1, resume e1, release e1 broken, "
        "answer backend_lost ran"),
    Row("booking_lost", "The service books, its answer is lost, and a "
        "retry or the resend books again.",
        BOOK, (granted("d1"), claimed(), closed("broken"),
               again(**BOOK)),
        "enqueue, claimask, open d1, cancel, release d1 broken, "
        "answer backend_lost unknown, settle unknown, "
        "answer duplicate unknown"),
    Row("silent_404", "As below; the engine's 404 to the resume is taken "
        "for the request's own fault, and its caller gets nothing.",
        {}, (granted(), closed("silent"),
             resumed("gone", http_status=404)),
        "enqueue, open e1, resume e1, release e1 silent, enqueue -e1"),
    Row("silent", "A connection goes silent for good and its request "
        "waits for an answer that can't come.",
        {}, (granted(), closed("silent"), resumed("gone")),
        "enqueue, open e1, resume e1, release e1 silent, enqueue -e1"),
    Row("budget_spent", "Retries multiply the load in an outage.",
        {**BULK, "stream": False}, (granted(), closed("broken")),
        "enqueue, open e1, cancel, release e1 broken, "
        "answer backend_lost unknown"),
    Row("client_error", "A request that every engine rejects is run on "
        "each of them.",
        PLAIN, (granted(), closed("failed", http_status=400)),
        "enqueue, open e1, release e1 failed, "
        "answer backend_failed unknown"),
    Row("leaves", "A leaving engine gets new work by an old grant.",
        {}, (leaving("e1"), granted("e1"), granted("e2")),
        "enqueue, release e1 cancelled, enqueue -e1, open e2"),
    Row("leaves_again", "A dispatcher with an older host list grants the "
        "leaving engine again and again, at full speed.",
        {}, (leaving("e1"), *[granted("e1")] * 9),
        "enqueue, " + "release e1 cancelled, enqueue -e1, " * 8
        + "release e1 cancelled, answer no_backend not_run"),
    Row("leaves_in_claim", "As above, while the claim is recorded; the "
        "booking is then claimed twice.",
        BOOK, (granted("d1"), leaving("d1"), claimed(), granted("d2")),
        "enqueue, claimask, release d1 cancelled, enqueue -d1, open d2"),
    Row("poison", "A request that crashes engines is tried on the next "
        "one, and its caller hears that it did not run.",
        PLAIN, (granted(), verdict("quarantined"), closed("broken")),
        "enqueue, open e1, cancel, release e1 broken, "
        "answer quarantined unknown"),
)

PEER = (
    Row("dispatcher_dies", "A dead dispatcher takes the queue with it.",
        {}, (dies(), granted()),
        "enqueue, reregister 1+0, open e1"),
    Row("dispatcher_cut_off", "With its dispatcher unreachable a host "
        "refuses all; without a bound it floods the engines.",
        {}, (*[again()] * 7, peer_lost(), wait(1.4)),
        "enqueue, " * 8 + "reregister 8+0, reregister 8+0, "
        + ", ".join(f"open {name}" for name in
                    ("e1", "e2", "e3", "e2", "e3", "e1"))),
    Row("stream_remade", "What was lost with a connection waits for ever.",
        {}, (peer_lost(), peer_back(), wait(2.0)),
        "enqueue, reregister 1+0"),
    Row("grant_twice", "One request holds two slots for good.",
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
        "the request is in nobody's queue.",
        {}, (told(lambda host, rid: messages.NotDispatcher("llm/0")),
             wait(0.6)),
        "enqueue, reregister 1+0"),
    Row("refused_after_run", "A retry is shed and its caller hears "
        "not_run of a request that did run.",
        PLAIN, (granted(), closed("broken"), refusal(1, "overload"),
                refusal(2, "overload")),
        "enqueue, open e1, cancel, release e1 broken, enqueue -e1, "
        "answer overload unknown"),
    Row("claim_answer_lost", "The claim is recorded, its answer lost, and "
        "the booking is refused as its own duplicate.",
        BOOK, (granted("d1"), wait(0.6),
               claimed("duplicate", holder_rid="h1.1.1")),
        "enqueue, claimask, claimask, open d1"),
    Row("claim_late", "A claim granted after its request gave up names "
        "a run that never was, or starts it.",
        BOOK, (granted("d1"), wait(3.1), late_claim(),
               told(lambda host, rid: messages.ClaimAnswer(
                   rid, driver.claim_key("north", "k"), "absent"), "h2")),
        "enqueue, " + "claimask, " * 6 + "release d1 cancelled, "
        "settle not_run, claimlook, settle not_run, "
        "answer claim_unavailable not_run"),
    Row("claim_held", "A resend at another host books again, or never "
        "learns how the first one ended.",
        BOOK, (granted("d1"), claimed(
            "duplicate", holder_host="h2", holder_rid="h2.1.4"),
            lambda host, rid: host.closed(rid, "gone", 0)),
        "enqueue, claimask, release d1 cancelled, replay from h2, "
        "answer duplicate unknown"),
    Row("asked_for_nothing", "A slot of a forgotten request stays taken "
        "at a new dispatcher.",
        {}, (gone(), told(
            lambda host, rid: messages.ReregisterAsk("llm/0"))),
        "enqueue, withdraw, reregister 0+0"),
)
