"""
The desired state that a gateway serves: routes, services, callers' keys.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class Repeat(Enum):
    """
    How often a request may be executed.
    """

    ANY = 'any'
    ONCE = 'once'
    RESUMED = 'resumed'


@dataclass(frozen=True, slots=True)
class Share:
    """
    A service's share of a route's requests.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """
    One route.

    :param prefix: path prefix; begins and ends with a slash.
    :param streams: whether answers are streams of events.
    :param timeout_s: time limit for a request's final answer.
    :param latency_objective_s: latency that the route aims at.
    :param event_gap_objective_s: pause between events that it aims at.
    :param max_sends: targets that one request may be sent to.
    :param allows_anonymous: whether it accepts requests without a key.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    streams: bool
    timeout_s: float
    latency_objective_s: float
    event_gap_objective_s: float
    priority: int
    shares: tuple[Share, ...]
    max_sends: int
    allows_anonymous: bool


@dataclass(frozen=True, slots=True)
class Accelerator:
    """
    A kind of accelerator.

    :param size_mb: memory size.
    :param pace: factor on the time of a token step.
    :param read_factor: factor on the time of reading prompts.
    """

    size_mb: float
    pace: float
    read_factor: float


@dataclass(frozen=True, slots=True)
class EngineRule:
    """
    Model and engine parameters of a service.

    :param layers: number of layers of the model.
    :param layer_mb: memory of one layer's weights.
    :param token_bytes: memory of one token in all layers.
    :param step_ms: time of a token step through all layers, at pace 1.
    :param sequence_ms: added to each step for each running request.
    :param read_per_s: prompt tokens read per second, at factor 1.
    :param hop_bytes: transferred for each token between two engines.
    :param pipe_mbps: bandwidth between availability zones, shared by all.
    :param slots: requests for which an engine may be the first of a path.
    :param kinds: accelerators by the name of their kind.
    """

    layers: int
    layer_mb: float
    token_bytes: float
    step_ms: float
    sequence_ms: float
    read_per_s: float
    typical_prompt_tokens: float
    mean_output_tokens: float
    hop_bytes: float
    pipe_mbps: float
    slots: int
    kinds: Mapping[str, Accelerator]


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """
    One service.

    :param max_connections: channels that a target accepts from all callers.
    :param engine: set where the service's targets are model engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineRule | None


@dataclass(frozen=True, slots=True)
class Limits:
    """
    Limits on the size of a request, and on the time to send it or stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


@dataclass(frozen=True, slots=True)
class Workspace:
    """
    A customer's unit. Its priority takes precedence over a route's.
    """

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class Desired:
    """
    One version of the desired state.

    :param routes: by host, the longest prefix first.
    :param workspaces: by key; None if no key is required.
    """

    version: int
    routes: Mapping[str, tuple[RouteRule, ...]]
    services: Mapping[str, ServiceRule]
    limits: Limits = field(default_factory=Limits)
    workspaces: Mapping[str, Workspace] | None = None


def find_route(desired: Desired, host: str, path: str) -> RouteRule | None:
    """
    Return the route with the longest prefix of the path.
    """
    for route in desired.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: RouteRule, fraction: float) -> str:
    """
    Return the service for a request, chosen by weight.

    :param fraction: a random number from 0 to 1, 1 excluded.
    """
    total = sum(share.weight for share in route.shares)
    remaining = fraction * total
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service
