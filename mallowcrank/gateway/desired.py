"""
The desired state that a gateway serves: routes, services, callers' keys.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class Repeat(Enum):
    """
    How often a request may run.
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

    :param prefix: begins and ends with a slash.
    :param streams: whether answers are streams of events.
    :param timeout_s: a request gets its final answer within it.
    :param target_s: the latency objective.
    :param gap_s: the objective for pauses between events.
    :param most_sends: targets that one request may be sent to.
    :param is_open: whether it takes requests without a key.
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

    :param size_mb: its memory.
    :param pace: factor on the time of a token step.
    :param read_factor: factor on the time of reading prompts.
    """

    size_mb: float
    pace: float
    read_factor: float


@dataclass(frozen=True, slots=True)
class EngineRule:
    """
    How the engines of a service work.

    :param layer_mb: memory of one layer's weights.
    :param token_bytes: memory of a token in all layers.
    :param step_ms: a token step through all layers, at pace 1.
    :param sequence_ms: added to it for each running request.
    :param read_per_s: prompt tokens read in a second, at factor 1.
    :param usual_answer: mean output tokens.
    :param hop_bytes: passed on for each token between two engines.
    :param pipe_mbps: bandwidth that all share between availability zones.
    :param slots: requests that an engine takes as the first of a path.
    """

    layers: int
    layer_mb: float
    token_bytes: float
    step_ms: float
    sequence_ms: float
    read_per_s: float
    mean_prompt_tokens: float
    mean_output_tokens: float
    hop_bytes: float
    pipe_mbps: float
    slots: int
    kinds: Mapping[str, Accelerator]


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """
    One service.

    :param most_connections: channels that a target takes from all callers.
    :param engine: set where the service's targets are model engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineRule | None


@dataclass(frozen=True, slots=True)
class Limits:
    """
    What a caller may send, and how long it may take or stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


@dataclass(frozen=True, slots=True)
class Workspace:
    """
    A customer. Its priority goes before a route's.
    """

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class Desired:
    """
    One version of the desired state.

    :param routes: by host, the longest prefix first.
    :param workspaces: by key; none where no key is asked for.
    """

    version: int
    routes: Mapping[str, tuple[RouteRule, ...]]
    services: Mapping[str, ServiceRule]
    limits: Limits = field(default_factory=Limits)
    workspaces: Mapping[str, Workspace] | None = None


def find_route(desired: Desired, host: str, path: str) -> RouteRule | None:
    """
    Return the route with the longest prefix that begins the path.
    """
    for route in desired.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: RouteRule, fraction: float) -> str:
    """
    Return the service that a request goes to.

    :param drawn: a number from 0 to 1, 1 excluded.
    """
    total = sum(share.weight for share in route.shares)
    left = fraction * total
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
