"""Engines fail payouts that they have run, with a status 503 of their own."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))
import standins  # noqa: E402

# As in a day of the site: srv_grey "errors all", share 1.0, x 0.45, for_s 4.0.
FAILS = 0.45
FAILS_FOR_S = 4.0
PAYOUTS = 40
LIMIT_MS = 3000
PROMISES = (408, 421, 429, 503)


def new_work(rng):
    begun = []

    async def work(engine, call):
        """Pay, and fail some of the answers after that."""
        await asyncio.sleep(0.06)
        engine.record.note("paid", engine=engine.sid, rid=call.rid,
                           claim=call.body.decode())
        now = asyncio.get_running_loop().time()
        begun.append(now)
        if (standins.trouble() and now < begun[0] + FAILS_FOR_S
                and rng.random() < FAILS):
            # Without X-Crocuskeel-Not-Run: it has run.
            await call.answer(b"could not confirm", 503)
        else:
            await call.answer(b"paid " + call.body)

    return work


async def pay(fleet, client, number):
    """Pay once; retry once, after a promise, as the pages say."""
    answers = []
    for attempt in range(2):
        if not client.is_open or attempt:
            client.close()
            if not await client.connect():
                return answers
        answer = await client.ask(
            f"b{number}-{attempt}", f"/post-payout/{number}",
            f"claim-{number}".encode(), limit_ms=LIMIT_MS)
        answers.append(answer)
        if answer.status not in PROMISES:
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", 0)))
    return answers


async def case(folder):
    fleet = standins.Fleet(folder, 2)
    work = new_work(random.Random(4))
    fleet.engines = [
        standins.Engine(fleet.record, fleet.store, "claims-api", f"i-d{n}",
                        work, slots=6, zone=f"z{n % 2 + 1}")
        for n in range(3)]
    try:
        if not await fleet.start(standins.config(
                7, [standins.route("post-payout", "/post-payout/",
                                   "unsafe", "claims-api", TimeoutMs=3000, GoalMs=400)],
                [standins.service("claims-api", max_conns=96)])):
            return standins.NOT_RUN
        clients = [standins.Client(fleet, host) for host in fleet.hosts]
        tries = []
        for number in range(0, PAYOUTS, 2):
            found = await asyncio.gather(*(
                pay(fleet, client, number + index)
                for index, client in enumerate(clients)))
            tries += sum(found, [])
        return _judge(fleet, tries)
    finally:
        fleet.stop()


def _judge(fleet, tries):
    """REFUSED: answered 429 or 503 (or 408, 421), and has run."""
    rows = fleet.record.rows
    ran = {row["rid"] for row in rows if row["what"] == "run"}
    refused = [answer for answer in tries
               if answer.whole and answer.status in PROMISES
               and answer.rid in ran]
    payouts = [row["claim"] for row in rows if row["what"] == "paid"]
    twice = {name for name in payouts if payouts.count(name) > 1}
    fleet.record.note(
        "judged", tries=len(tries), refused_though_run=len(refused),
        claims_paid_twice=len(twice))
    return standins.BROKEN if refused else standins.HELD


standins.main(pathlib.Path(__file__).parent, case)
