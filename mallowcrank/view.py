"""
What an agent tells its router: targets, models, services, workspaces, peers.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum, unique

MAX_DEMANDS = 8  # workspaces in one router's demand

DEMAND_ENTRY_BYTES = 24  # on the wire
DEMAND_BYTES_PER_S = 2400  # of demand, by all agents together


def demand_interval_s(routers: int, entries: int = MAX_DEMANDS) -> float:
    """
    Return the seconds between two demands that an agent passes on, so that
    those of all routers fit into their bytes.
    """
    size = (entries + 1) * DEMAND_ENTRY_BYTES
    return routers * size / DEMAND_BYTES_PER_S


@unique
class TargetKind(StrEnum):
    """
    What a target does.
    """

    ENGINE = 'engine'
    SERVICE = 'service'


@unique
class TargetState(StrEnum):
    """
    What the agents believe of a target.
    """

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Target:
    """
    One back end: a model engine that holds a range of layers, or a replica of
    a plain service.

    :param address: `IP:PORT`.
    :param incarnation: counts the target's restarts.
    :param serves: the model's or service's name.
    :param first_layer: the first layer held, from 0.
    :param last_layer: the last layer held, inclusive.
    :param step_ms: milliseconds for one step of one stream.
    :param slots: streams that one batch holds without slowing down.
    :param load: streams in its batch, as last reported.
    """

    name: str
    kind: TargetKind
    address: str
    availability_zone: str
    serves: str
    incarnation: int = 0
    state: TargetState = TargetState.LIVE
    first_layer: int = 0
    last_layer: int = 0
    step_ms: float = 1
    slots: int = 16
    load: int = 0
    version: str = ''


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """
    A model, as the settings describe it.

    :param layers: the count of layers.
    :param max_tokens: the bound on the tokens of one answer.
    """

    name: str
    layers: int
    version: str = ''
    max_tokens: int = 256


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """
    A plain service.

    :param repeatable: whether a call may run more than once.
    :param reserved: calls in flight on each router that others can't take.
    :param urgent: whether its calls go before all queues.
    :param timeout_s: seconds for a call, where the caller gives no deadline.
    :param silence_s: seconds without progress until a connection is replaced.
    """

    name: str
    repeatable: bool = False
    reserved: int = 0
    urgent: bool = False
    timeout_s: float = 10
    silence_s: float = 1


@dataclass(frozen=True, slots=True)
class WorkspaceSettings:
    """
    The effective settings of one workspace.

    :param name: `BRANCH/WORKSPACE`.
    :param branch_share: the branch's weight under the root.
    :param share: the workspace's weight in its branch.
    :param urgency: order inside the branch; a higher number goes first.
    :param request_rate: requests a second, over all routers.
    :param token_rate: tokens a second, over all routers.
    :param streams: concurrent streams, over all routers.
    :param timeout_s: seconds for a request, where the caller gives no
        deadline.
    """

    name: str
    branch: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    branch_share: float = 1
    share: float = 1
    urgency: int = 0
    request_rate: float = 100
    token_rate: float = 10000
    streams: int = 64
    timeout_s: float = 30


@dataclass(frozen=True, slots=True)
class Peer:
    """
    Another router, as the agents know it.

    :param address: `IP:PORT` of its callers' interface.
    :param incarnation: changes with each start.
    :param load: streams and calls in flight, as last reported.
    :param demand: the workspaces that it uses most, at most
        `MAX_DEMANDS` of them, each with the part of the workspace's limits
        that the router's callers ask for (1 is all of them). Empty when the
        agents can't hear the peer.
    """

    name: str
    address: str
    availability_zone: str
    incarnation: str
    leaving: bool = False
    load: int = 0
    demand: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class View:
    """
    All that a router needs to know, at one configuration version.

    :param version: the log offset that the settings reach, or -1 for none.
    """

    version: int = -1
    targets: Mapping[str, Target] = field(default_factory=dict)
    models: Mapping[str, ModelSettings] = field(default_factory=dict)
    services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    workspaces: Mapping[str, WorkspaceSettings] = field(default_factory=dict)
    peers: Mapping[str, Peer] = field(default_factory=dict)
