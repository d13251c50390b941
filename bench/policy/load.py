"""Deployments and their seeded workloads.

Classes and workspaces come from the example settings; the shares,
lengths and arrival times of calls are defined here.
"""

import dataclasses
import hashlib
import math
import pathlib
import random
import typing

from crocuskeel import conf

__all__ = ["Call", "DEPLOYMENTS", "Deployment", "arrivals",
           "load_deployment"]

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
LENGTH_SIGMA = 0.8
STEP_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """A class's share of its service's calls, and their sizes.

    ``size`` is the mean output in tokens, or the mean duration in seconds
    for a plain service; ``prompt`` is the typical prompt in tokens.
    """

    share: float
    size: float
    prompt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """``capacity`` maps a service to its maximum rate in calls/s."""

    name: str
    tree: conf.Tree
    domains: tuple[str, ...]
    hosts: int
    servers: dict[str, int]
    capacity: dict[str, float]
    mix: dict[str, Mix]
    workspaces: tuple[str, ...]


DEPLOYMENTS = {
    "paddlegum": dict(
        hosts=6, servers={"guide-llm": 6, "hire-desk": 3},
        capacity={"guide-llm": 12.0, "hire-desk": 72.0},
        mix={
            "ramp-briefing": Mix(0.30, 55, 300),
            "safety-question": Mix(0.20, 60, 150),
            "trip-planning": Mix(0.30, 150, 400),
            "waiver-summary": Mix(0.20, 120, 500),
            "launch-confirmation": Mix(0.3, 0.12),
            "boat-return": Mix(0.7, 0.12),
        }),
    "wellness": dict(
        hosts=8, servers={"advisor-pool": 6, "booking-desk": 4},
        # All classes of booking-desk are in the top tier, and no policy
        # protects a tier from itself. Its capacity is therefore set so
        # that a doubled load stays below what the servers can do.
        capacity={"advisor-pool": 11.0, "booking-desk": 40.0},
        mix={
            "guest-advice": Mix(0.40, 80, 300),
            "day-package": Mix(0.40, 150, 400),
            "spa-listing": Mix(0.20, 120, 400),
            "package-confirmation": Mix(0.4, 0.12),
            "slot-check": Mix(0.6, 0.12),
        }),
}


@dataclasses.dataclass(slots=True)
class Call:
    """One caller's request; the policy doesn't know its ``length``.

    ``jobs`` maps (rid, attempt) to the attempt's job on a server;
    ``starts`` counts the runs that servers began. ``driver_data`` belongs
    to the code that drives the run.
    """

    id: int
    arrived_at: float
    workspace: str
    policy: conf.ClassPolicy
    length: float
    prompt: int = 0
    prefix: int = 0
    poison: bool = False
    key: str = ""
    fingerprint: str = ""
    tries: int = 0
    starts: int = 0
    rid: str = ""
    waited_s: float = 0.0
    first_at: float = 0.0
    done_at: float = 0.0
    tokens: float = 0.0
    itl_s: float = 0.0
    refused_at: float = 0.0
    reason: str = ""
    outcome: str = ""
    jobs: dict = dataclasses.field(default_factory=dict)
    driver_data: typing.Any = None

    @property
    def is_finished(self):
        """Whether the caller has received its final answer."""
        return bool(self.done_at or self.refused_at)


def load_deployment(name):
    """Return a :class:`Deployment` by name."""
    document = (_EXAMPLES / f"{name}.jsonc").read_text(encoding="utf-8")
    tree = conf.parse(document).unwrap()
    domains = tuple(tree.common["deployment"]["failure_domains"])
    parameters = DEPLOYMENTS[name]
    workspaces = tuple(sorted(dict(conf.workspaces(tree))))
    return Deployment(name, tree, domains, workspaces=workspaces, **parameters)


def token_of(workspace):
    """Return the SHA-256 digest of the workspace's demo token."""
    token = f"{workspace}-token".encode()
    return hashlib.sha256(token).hexdigest()


def arrivals(deployment, load_share, seed, seconds):
    """Return the calls of a run in order of arrival.

    ``load_share(t, class_name, workspace)`` is the load at time ``t`` as
    a share of the service's capacity.
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    calls = []
    for class_name in deployment.mix:
        for workspace in deployment.workspaces:
            calls += _class_arrivals(
                deployment, class_name, workspace, load_share, rng, seconds)
    calls.sort(key=lambda call: call.arrived_at)
    for number, call in enumerate(calls):
        call.id = number
        call.key = f"key-{number}"
        call.fingerprint = f"print-{number}"
    return calls


def _class_arrivals(
        deployment, class_name, workspace, load_share, rng, seconds):
    policy = conf.resolve(deployment.tree, workspace, class_name)
    mix = deployment.mix[class_name]
    total = sum(_weight_of(deployment, name) for name in
                deployment.workspaces)
    rate = (deployment.capacity[policy.service] * mix.share
            * _weight_of(deployment, workspace) / total)
    calls = []
    now = 0.0
    while now < seconds:
        share = load_share(now, class_name, workspace)
        for _ in range(_poisson(rng, rate * share * STEP_S)):
            arrived_at = now + rng.random() * STEP_S
            calls.append(_call(rng, arrived_at, policy, mix))
        now += STEP_S
    return calls


def _weight_of(deployment, workspace):
    weight = conf.resolve(
        deployment.tree, workspace, next(iter(deployment.mix))).weight
    return max(weight, 1.0)


def _poisson(rng, expected):
    limit = math.exp(-expected)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def _call(rng, arrived_at, policy, mix):
    if policy.kind == "plain":
        length = mix.size * rng.lognormvariate(-0.045, 0.3)
        return Call(0, arrived_at, policy.workspace, policy, length)
    # Output lengths have a heavy tail with ``mix.size`` as their mean.
    length = rng.lognormvariate(
        math.log(mix.size) - LENGTH_SIGMA ** 2 / 2, LENGTH_SIGMA)
    length = min(max(4, round(length)), policy.max_tokens)
    prompt = max(20, round(mix.prompt * rng.lognormvariate(0, 0.4)))
    prefix = 1 + prefix_hash(policy.workspace, policy.name, rng.randrange(3))
    return Call(
        0, arrived_at, policy.workspace, policy, length, prompt, prefix)


def prefix_hash(*parts):
    """Return a stable positive number that identifies a prompt prefix."""
    digest = hashlib.sha256("/".join(map(str, parts)).encode()).digest()
    return int.from_bytes(digest[:6], "big")
