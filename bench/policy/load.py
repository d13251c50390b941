"""Deployments and their seeded workloads.

Classes and workspaces come from the example settings; shares, lengths
and times of the calls are ours.
"""

import dataclasses
import hashlib
import math
import pathlib
import random
import typing

from crocuskeel import conf

__all__ = ["Call", "DEPLOYMENTS", "Deployment", "arrivals", "load"]

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
SIGMA = 0.8
CHUNK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Share of its service's calls, and their sizes.

    ``size`` is the mean output in tokens, or seconds for a plain
    service.
    """

    share: float
    size: float
    prompt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """``capacity`` maps a service to its calls a second at most."""

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
        # All of booking-desk is of the top tier, and no policy protects a
        # tier from itself: its load only doubles, to below capacity.
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
    """One caller's request; ``length`` is hidden from the policy.

    ``sources`` maps (rid, attempt) to the tokens that reached the
    caller from it; ``starts`` counts runs begun on servers.
    """

    id: int
    at: float
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
    sources: dict = dataclasses.field(default_factory=dict)
    extra: typing.Any = None

    @property
    def over(self):
        """Whether the caller has its final answer."""
        return bool(self.done_at or self.refused_at)


def load(name):
    """Return a :class:`Deployment` by name."""
    text = (_EXAMPLES / f"{name}.jsonc").read_text(encoding="utf-8")
    tree = conf.parse(text).unwrap()
    domains = tuple(tree.common["deployment"]["failure_domains"])
    body = DEPLOYMENTS[name]
    workspaces = tuple(sorted(dict(conf.workspaces(tree))))
    return Deployment(name, tree, domains, workspaces=workspaces, **body)


def token_of(workspace):
    """Return the SHA-256 of the workspace's demo token."""
    clear = f"{workspace}-token".encode()
    return hashlib.sha256(clear).hexdigest()


def arrivals(deployment, factor, seed, seconds):
    """Return the calls of a run, by time.

    ``factor(t, class_name, workspace)`` is the load at a time as a
    share of the service's capacity.
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    calls = []
    for class_name in deployment.mix:
        for workspace in deployment.workspaces:
            calls += _stream(deployment, class_name, workspace, factor,
                             rng, seconds)
    calls.sort(key=lambda call: call.at)
    for number, call in enumerate(calls):
        call.id = number
        call.key = f"key-{number}"
        call.fingerprint = f"print-{number}"
    return calls


def _stream(deployment, class_name, workspace, factor, rng, seconds):
    policy = conf.resolve(deployment.tree, workspace, class_name)
    mix = deployment.mix[class_name]
    total = sum(_size_of(deployment, name) for name in
                deployment.workspaces)
    rate = (deployment.capacity[policy.service] * mix.share
            * _size_of(deployment, workspace) / total)
    calls = []
    now = 0.0
    while now < seconds:
        level = factor(now, class_name, workspace)
        for _ in range(_poisson(rng, rate * level * CHUNK_S)):
            at = now + rng.random() * CHUNK_S
            calls.append(_call(rng, at, policy, mix))
        now += CHUNK_S
    return calls


def _size_of(deployment, workspace):
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


def _call(rng, at, policy, mix):
    if policy.kind == "plain":
        length = mix.size * rng.lognormvariate(-0.045, 0.3)
        return Call(0, at, policy.workspace, policy, length)
    # Output lengths have a heavy tail; their mean is the mix's size.
    length = rng.lognormvariate(
        math.log(mix.size) - SIGMA ** 2 / 2, SIGMA)
    length = min(max(4, round(length)), policy.max_tokens)
    prompt = max(20, round(mix.prompt * rng.lognormvariate(0, 0.4)))
    prefix = 1 + hash_of(policy.workspace, policy.name, rng.randrange(3))
    return Call(0, at, policy.workspace, policy, length, prompt, prefix)


def hash_of(*parts):
    """Return a stable positive number for a prompt's prefix."""
    digest = hashlib.sha256("/".join(map(str, parts)).encode()).digest()
    return int.from_bytes(digest[:6], "big")
