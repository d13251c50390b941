"""Circuit breaker: few calls in an outage, no burst when it ends.

closed: calls pass; consecutive failures open the circuit. open: calls
are refused immediately until a jittered time, which spreads the probes
of many hosts. probing: one call passes. Its success closes the circuit
and empties the budget, so that calls resume at the budget's rate and
not all at once; its failure reopens the circuit for up to twice as long.
"""

import dataclasses
import random
import typing

import automat

from crocuskeel.objectapi import token_bucket as token_buckets

__all__ = ["Circuit", "CircuitConfig", "new_circuit"]

_JITTER_LOW = 0.5
_JITTER_HIGH = 1.5

CLOSED = "closed"
OPEN = "open"
PROBING = "probing"


@dataclasses.dataclass(frozen=True, slots=True)
class CircuitConfig:
    """``failures`` consecutive ones open it; durations in seconds."""

    failures: int = 5
    open_s: float = 0.5
    open_max_s: float = 8.0


@dataclasses.dataclass(slots=True)
class _Core:
    """The data that the transitions change.

    ``epoch`` grows at each transition. Results of calls that began
    before it say nothing about the present state and are ignored.
    """

    cfg: CircuitConfig
    rng: random.Random
    budget: token_buckets.TokenBucket
    failures: int = 0
    open_span_s: float = 0.0
    retry_at: float = 0.0
    epoch: int = 0


class _Inputs(typing.Protocol):
    """Inputs of the state machine; ``now`` is in seconds."""

    def trip(self, now: float) -> None:
        """Too many failures, or the probe failed."""

    def probe(self, now: float) -> None:
        """The open period is over; the next call is the probe."""

    def restore(self, now: float) -> None:
        """The probe succeeded."""

    def name(self) -> str:
        """Return the name of the state."""


_builder = automat.TypeMachineBuilder(_Inputs, _Core)
_closed = _builder.state(CLOSED)
_open = _builder.state(OPEN)
_probing = _builder.state(PROBING)
_closed.upon(_Inputs.name).loop().returns(CLOSED)
_open.upon(_Inputs.name).loop().returns(OPEN)
_probing.upon(_Inputs.name).loop().returns(PROBING)


@_closed.upon(_Inputs.trip).to(_open)
@_probing.upon(_Inputs.trip).to(_open)
def _trip(inputs: _Inputs, core: _Core, now: float) -> None:
    core.epoch += 1
    core.failures = 0
    core.open_span_s = min(core.cfg.open_max_s,
                           max(core.cfg.open_s, core.open_span_s * 2))
    jitter = core.rng.uniform(_JITTER_LOW, _JITTER_HIGH)
    core.retry_at = now + core.open_span_s * jitter


@_open.upon(_Inputs.probe).to(_probing)
def _probe(inputs: _Inputs, core: _Core, now: float) -> None:
    core.epoch += 1


@_probing.upon(_Inputs.restore).to(_closed)
def _restore(inputs: _Inputs, core: _Core, now: float) -> None:
    core.epoch += 1
    core.open_span_s = 0.0
    core.budget.drain(now)


_new_machine = _builder.build()


@dataclasses.dataclass(slots=True)
class Circuit:
    """The state machine and its conditions on time and failure counts."""

    core: _Core
    machine: _Inputs

    def state(self):
        """Return ``closed``, ``open`` or ``probing``."""
        return self.machine.name()

    def refuses(self, now):
        """Return whether a call must not be made now."""
        if self.state() == OPEN:
            return now < self.core.retry_at
        return self.state() == PROBING

    def admit(self, now):
        """Return the epoch for a call that is not refused."""
        if self.state() == OPEN:
            self.machine.probe(now)
        return self.core.epoch

    def succeeded(self, epoch, now):
        """Handle the success of a call that began in ``epoch``."""
        if epoch != self.core.epoch:
            return
        self.core.failures = 0
        if self.state() == PROBING:
            self.machine.restore(now)

    def failed(self, epoch, now):
        """Handle the failure of a call that began in ``epoch``."""
        if epoch != self.core.epoch:
            return
        self.core.failures += 1
        probing = self.state() == PROBING
        if probing or self.core.failures >= self.core.cfg.failures:
            self.machine.trip(now)

    def retry_after_s(self, now):
        """Return the seconds after which a refused caller should retry."""
        return max(self.core.cfg.open_s, self.core.retry_at - now)


def new_circuit(cfg, rng, budget):
    """Return a closed circuit; it drains ``budget`` when it closes."""
    core = _Core(cfg=cfg, rng=rng, budget=budget)
    return Circuit(core=core, machine=_new_machine(core))
