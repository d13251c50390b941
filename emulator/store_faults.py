"""Faults of the store."""

__all__ = ["FAULTS"]


def _restore(world, fault):
    """The store is down and comes back from a copy, ``times`` s old."""
    world.stop_store()
    world.clock.after(fault.for_s, world.restore_store,
                      world.clock.now - fault.times)


def _stop(world, fault):
    """The store is down and comes back as it was."""
    world.stop_store()
    world.clock.after(fault.for_s, world.return_store)


def _slow_down(world, fault):
    """Calls for records take ``times`` s longer."""
    world.records.slowdown_s = fault.times
    world.clock.after(fault.for_s, _end_slowdown, world)


def _end_slowdown(world):
    world.records.slowdown_s = 0.0


def _leave_unanswered(is_late):
    def inject(world, fault):
        """A share ``times`` of the writes of records gets no answer.

        They are done at once, or late.
        """
        world.records.unanswered = fault.times
        world.records.is_late = is_late
        world.clock.after(fault.for_s, _answer_all, world)
    return inject


def _answer_all(world):
    world.records.unanswered = 0.0


def _limit(world, fault):
    """Above ``times`` calls a second for records they fail."""
    world.records.rate_limit = fault.times
    world.clock.after(fault.for_s, _end_limit, world)


def _end_limit(world):
    world.records.rate_limit = None


def _refuse(world, fault):
    """Calls for records of the first ``count`` hosts fail."""
    world.records.refused = frozenset(world.names[:fault.count])
    world.clock.after(fault.for_s, _refuse_none, world)


def _refuse_none(world):
    world.records.refused = frozenset()


def _delay_data(world, fault):
    """Reads of records that need not be exact are ``times`` s behind."""
    world.records.stale_s = fault.times
    world.clock.after(fault.for_s, _end_delay, world)


def _end_delay(world):
    world.records.stale_s = 0.0


FAULTS = {"restore": _restore, "store_down": _stop, "slow_store": _slow_down,
          "unanswered_writes": _leave_unanswered(False),
          "late_writes": _leave_unanswered(True), "store_limit": _limit,
          "refuse_records": _refuse, "stale_reads": _delay_data}
