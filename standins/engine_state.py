"""State of one stand-in engine and its operations, without HTTP."""
import collections
import dataclasses
import typing
import uuid

from standins import batch as batching
from standins import prefix_cache
from standins import texts

DEFAULT_MAX_TOKENS = texts.LENGTH_MAX
LOWEST_TIER = 9
LOAD_SAMPLES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EngineConfig:
    """Settings of an engine; times in seconds.

    ``models`` are (model, version) pairs that are ready at the start.
    """

    name: str
    batch: batching.BatchConfig = batching.BatchConfig()
    models: tuple = (("guide", "1"),)
    load_lag: float = 2.0
    checks_fence: bool = True
    seed: int = 1
    cache_tokens: int = 8192
    cache_event_loss: float = 0.05
    grace: float = 5.0
    keep_finished: float = 10.0
    load_seconds: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """The load at one time."""

    at: float
    running: int
    waiting: int
    kv_used: float


@dataclasses.dataclass(slots=True)
class Model:
    """A model of the engine; ``status`` is ``loading`` or ``ready``."""

    version: str
    status: str


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults, named as in the body of ``POST /faults``."""

    crash_on: str | None = None
    straggle: float = 1.0
    silent_after: int = 0
    break_after: int = 0


@dataclasses.dataclass(slots=True)
class Runs:
    """Counts since the process started; simulated crashes keep them."""

    by_request_id: collections.Counter
    by_idempotency_key: collections.Counter
    tokens_generated: int = 0
    tokens_cancelled: int = 0


@dataclasses.dataclass(slots=True)
class Boot:
    """State that a simulated crash resets."""

    boot_id: str
    batch: batching.Batch
    models: dict
    adapters: list
    role: str | None
    highest_fence: int
    orders: set
    streams: dict
    finished: collections.deque
    samples: collections.deque
    orphans: dict
    tick: typing.Any = None


@dataclasses.dataclass(slots=True)
class Engine:
    """One engine; ``listener`` is None until it is served."""

    reactor: typing.Any
    cfg: EngineConfig
    faults: Faults
    runs: Runs
    boot: Boot
    arrivals: int = 0
    listener: typing.Any = None


def new_engine(reactor, cfg):
    """Return an engine without streams."""
    runs = Runs(collections.Counter(), collections.Counter())
    boot = new_boot(cfg, reactor.seconds())
    return Engine(reactor, cfg, Faults(), runs, boot)


def new_boot(cfg, now):
    """Return the state of a newly started engine."""
    cache = prefix_cache.new_prefix_cache(
        cfg.cache_tokens, cfg.cache_event_loss, cfg.seed)
    return Boot(
        boot_id=uuid.uuid4().hex,
        batch=batching.new_batch(cfg.batch, cache),
        models={name: Model(version, "ready")
                for name, version in cfg.models},
        adapters=[],
        role=None,
        highest_fence=0,
        orders=set(),
        streams={},
        finished=collections.deque(),
        samples=collections.deque([LoadSample(now, 0, 0, 0.0)]),
        orphans={})


def serves(boot, model):
    """Tell whether requests for a model or adapter can run."""
    known = boot.models.get(model)
    return model in boot.adapters or (
        known is not None and known.status == "ready")


def new_stream(engine, rid, tier, body):
    """Return the stream for a request body, not yet queued."""
    prompt = texts.prompt_text(body["messages"])
    prompt_tokens = texts.count_tokens(prompt)
    length = body.get("stop_after") or texts.draw_length(
        prompt, engine.cfg.seed)
    room = engine.cfg.batch.max_kv_tokens - prompt_tokens
    limit = min(body.get("max_tokens") or DEFAULT_MAX_TOKENS, room)
    engine.arrivals += 1
    return batching.Stream(
        rid=rid,
        tier=tier,
        arrival_number=engine.arrivals,
        prompt_tokens=prompt_tokens,
        prefix_keys=texts.prefix_keys(prompt),
        words=texts.expected_words(prompt, max(0, min(length, limit))),
        finish_reason="length" if length > limit else "stop")


def load_report(engine):
    """Return a load report, which shows the load ``load_lag`` earlier."""
    boot = engine.boot
    cutoff = engine.reactor.seconds() - engine.cfg.load_lag
    _drop_old_samples(boot.samples, cutoff)
    sample = boot.samples[0]
    return {
        "boot_id": boot.boot_id,
        "running": sample.running,
        "waiting": sample.waiting,
        "slots": engine.cfg.batch.slots,
        "kv_used": round(sample.kv_used, 4),
        "at": sample.at}


def sample_load(engine):
    """Record the current load, at most LOAD_SAMPLES times per lag.

    When the engine becomes idle it is always recorded.
    """
    boot = engine.boot
    now = engine.reactor.seconds()
    spacing = engine.cfg.load_lag / LOAD_SAMPLES
    idle = batching.is_idle(boot.batch)
    if boot.samples[-1].at + spacing > now and not idle:
        return
    _drop_old_samples(boot.samples, now - engine.cfg.load_lag)
    boot.samples.append(LoadSample(
        now, len(boot.batch.running), len(boot.batch.waiting),
        batching.kv_used(boot.batch)))


def state_report(engine):
    """Return a state report."""
    boot = engine.boot
    models = {name: dataclasses.asdict(model)
              for name, model in boot.models.items()}
    return {
        "boot_id": boot.boot_id,
        "models": models,
        "adapters": list(boot.adapters),
        "role": boot.role,
        "highest_fence": boot.highest_fence}


def is_stale_fence(engine, fence):
    """Tell whether an order's fencing token is stale; else record it.

    Engines that don't check fencing tokens don't record them either:
    their ``highest_fence`` stays 0.
    """
    if not engine.cfg.checks_fence:
        return False
    if fence < engine.boot.highest_fence:
        return True
    engine.boot.highest_fence = fence
    return False


def execute_order(engine, order):
    """Execute an order; one whose id has been executed is ignored."""
    boot = engine.boot
    if order["order_id"] in boot.orders:
        return
    boot.orders.add(order["order_id"])
    kind = order["kind"]
    name = order.get("model")
    if kind == "load_model":
        _load_model(engine, name, str(order.get("version", "")))
    elif kind == "unload_model":
        boot.models.pop(name, None)
    elif kind == "load_adapter" and name not in boot.adapters:
        boot.adapters.append(name)
    elif kind == "set_role":
        boot.role = order.get("role")


def _load_model(engine, name, version):
    model = Model(version, "loading")
    engine.boot.models[name] = model
    engine.reactor.callLater(
        engine.cfg.load_seconds, setattr, model, "status", "ready")


def _drop_old_samples(samples, cutoff):
    while len(samples) > 1 and samples[1].at <= cutoff:
        samples.popleft()
