"""
The agent's view for its routers: targets, models, services, workspaces, peers.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum, unique

MAX_DEMANDS = 8  # workspaces per router

DEMAND_ENTRY_BYTES = 24  # on the wire
DEMAND_BYTES_PER_S = 2400  # total bandwidth over all agents


def demand_interval_s(routers: int, entries: int = MAX_DEMANDS) -> float:
    """
    Return the seconds between two demand reports that an agent forwards.

    It keeps the reports of all routers within `DEMAND_BYTES_PER_S`.

    :param routers: the number of routers.
    :param entries: the workspaces in one report.
    """
    report_bytes = (entries + 1) * DEMAND_ENTRY_BYTES
    return routers * report_bytes / DEMAND_BYTES_PER_S


@unique
class TargetKind(StrEnum):
    """
    Whether a target is a model engine or a plain service.
    """

    ENGINE = 'engine'
    SERVICE = 'service'


@unique
class TargetState(StrEnum):
    """
    The state of a target according to the agents.
    """

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Target:
    """
    One back end: a model engine with a range of layers, or a replica of a
    plain service.

    :param address: `IP:PORT`.
    :param incarnation: counts the target's restarts.
    :param serves: the name of its model or service.
    :param first_layer: its first layer, from 0.
    :param last_layer: its last layer, inclusive.
    :param step_ms: milliseconds for one step of one stream.
    :param slots: streams that fit into one batch without slowing it down.
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
    The settings of one model.

    :param layers: the number of layers.
    :param max_tokens: the maximum of tokens in one answer.
    """

    name: str
    layers: int
    version: str = ''
    max_tokens: int = 256


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """
    The settings of one plain service.

    :param repeatable: whether a call may run more than once.
    :param reserved: concurrent calls on each router that are reserved for it.
    :param urgent: whether its calls bypass all queues.
    :param timeout_s: seconds for a call without a deadline of its caller.
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
    :param branch_share: the branch's weight among all branches.
    :param share: the workspace's weight in its branch.
    :param urgency: priority in the branch; a higher number goes first.
    :param request_rate: limit in requests per second, over all routers.
    :param token_rate: limit in tokens per second, over all routers.
    :param streams: limit of concurrent streams, over all routers.
    :param timeout_s: seconds for a request without a deadline of its caller.
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
    Another router, as the agents last reported it.

    :param address: `IP:PORT` for callers.
    :param incarnation: changes with each start.
    :param leaving: whether the router is shutting down.
    :param load: streams and calls in flight, as last reported.
    :param demand: the workspaces with the highest demand on the router, at
        most `MAX_DEMANDS`, each with the fraction of the workspace's limits
        that its callers request (1 is all). Empty when the agents get no
        reports from the router.
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
    The state and settings that a router uses, at one configuration version.

    :param version: the log offset up to which settings are applied, or -1
        without settings.
    """

    version: int = -1
    targets: Mapping[str, Target] = field(default_factory=dict)
    models: Mapping[str, ModelSettings] = field(default_factory=dict)
    services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    workspaces: Mapping[str, WorkspaceSettings] = field(default_factory=dict)
    peers: Mapping[str, Peer] = field(default_factory=dict)
