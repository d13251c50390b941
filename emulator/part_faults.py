"""Faults of prompt parts: engines crash on all prompts that have one."""

from emulator import callers

__all__ = ["FAULTS"]

# Tokens of a part that crashes engines, and of one that is always with it.
PART_TOKENS = 200
# Number of parts of a long prompt, and tokens of each.
LONG_PARTS = 62
LONG_PART_TOKENS = 20


def _middle(shared, bad):
    return (*shared, bad)


def _first(shared, bad):
    return (bad, *shared)


def _beside(shared, bad):
    return (*shared, (f"with-{bad[0]}", PART_TOKENS), bad)


def _among_many(shared, bad):
    rows = [(f"row-{number}", LONG_PART_TOKENS)
            for number in range(LONG_PARTS - 2)]
    half = len(rows) // 2
    return (*shared, *rows[:half], bad, *rows[half:])


def _send(arrange, crash_after=0):
    def inject(world, fault):
        """Callers send prompts with one bad part, no two of them alike.

        They send ``count`` at a time, ``times`` times a second, on the first
        kind of request and its subjects.
        """
        world.last_number += 1
        bad = f"bad-{world.last_number}", PART_TOKENS
        _send_repeatedly(world, fault, arrange, bad, crash_after,
                         world.clock.now + fault.for_s)
    return inject


def _send_repeatedly(world, fault, arrange, bad, crash_after, until):
    if world.clock.now >= until:
        return
    kind = world.deployment.kinds[0]
    for _ in range(fault.count):
        subject = world.draw_subject(kind)
        shared = ((f"{kind.name}-{subject}", kind.shared),)
        world.last_number += 1
        callers.start(world, kind, subject, crashes_servers=True,
                      crash_after=crash_after, bad_part=bad[0],
                      digest=f"body-{world.last_number}",
                      parts=arrange(shared, bad))
    world.clock.after(1 / fault.times, _send_repeatedly, world, fault,
                      arrange, bad, crash_after, until)


def _end_connections(world, fault):
    """Streams have neither a length nor chunks from now on.

    They end with their connections, on servers that start later too.
    """
    world.ends_connections = True
    for server in world.servers.values():
        server.ends_connections = True
    world.clock.after(fault.for_s, _keep_connections, world)


def _keep_connections(world):
    world.ends_connections = False
    for server in world.servers.values():
        server.ends_connections = False


FAULTS = {"bad_part": _send(_middle), "bad_first_part": _send(_first),
          "bad_part_pair": _send(_beside),
          "bad_part_of_many": _send(_among_many),
          "bad_part_late": _send(_middle, crash_after=2),
          "end_connections": _end_connections}
