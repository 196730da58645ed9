"""
The facts that agents exchange by gossip.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from mallowcrank.view import TargetKind

AGENT_PREFIX = 'agent:'  # marks an agent as the subject of an observation


@unique
class MemberState(StrEnum):
    """
    The state of an agent.
    """

    ALIVE = 'alive'
    LEAVING = 'leaving'
    DEAD = 'dead'


@unique
class Verdict(StrEnum):
    """
    The result of one observation.
    """

    FAILED = 'failed'
    ALIVE = 'alive'


@dataclass(frozen=True, slots=True)
class Member:
    """
    An agent, and the router on its host.

    :param incarnation: the agent's start in milliseconds since the epoch,
        increased whenever the agent refutes a suspicion.
    :param stamp: time of the last change, in seconds since the epoch.
    :param router: the name of its router, or an empty string.
    """

    name: str
    incarnation: int
    version: int
    state: MemberState
    address: str
    availability_zone: str
    stamp: float = 0
    router: str = ''
    router_address: str = ''
    router_incarnation: str = ''
    router_leaving: bool = False


@dataclass(frozen=True, slots=True)
class TargetFact:
    """
    A target as described by its own status.

    :param leaving: whether the target announced that it is leaving; valid
        for this incarnation.
    :param gone: whether a quorum of observers found the target dead.
    :param fencing: `checks`, `ignores` or `unstated`.
    :param step_ms: time of one step, in milliseconds.
    :param stamp: time of the last change, in seconds since the epoch.
    """

    name: str
    incarnation: int
    leaving: bool
    version: int
    gone: bool
    kind: TargetKind
    address: str
    availability_zone: str
    serves: str
    first_layer: int = 0
    last_layer: int = 0
    step_ms: float = 1
    slots: int = 16
    model_version: str = ''
    fencing: str = 'unstated'
    stamp: float = 0


@dataclass(frozen=True, slots=True)
class Listing:
    """
    A target's entry in the platform's host list.

    :param stamp: when the list was read, in seconds since the epoch.
    :param incarnation: the target's incarnation as known to the reader.
    :param present: whether the list contained the target.
    """

    name: str
    stamp: float
    incarnation: int
    present: bool
    leaving: bool
    kind: TargetKind
    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Hold:
    """
    A hold on a target while an order runs on it.

    The target is given no new work during the hold.

    :param fence: the lease's fencing number.
    :param until: when the hold expires, in seconds since the epoch.
    """

    name: str
    fence: int
    number: int
    active: bool
    until: float


@dataclass(frozen=True, slots=True)
class Observation:
    """
    One observer's verdict on a target or agent.

    :param subject: a target's name, or `agent:NAME`.
    :param stamp: time of the observation, in seconds since the epoch.
    """

    subject: str
    observer: str
    incarnation: int
    stamp: float
    verdict: Verdict
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Load:
    """
    The load of a target, or of a router as `router:NAME`.

    It is a hint and may be outdated.

    :param stamp: time of the report, in seconds since the epoch.
    """

    name: str
    stamp: float
    load: int


@dataclass(frozen=True, slots=True)
class Demand:
    """
    The demand of a router's callers.

    It is a hint and may be outdated.

    :param name: the router.
    :param stamp: time of the report, in seconds since the epoch.
    :param parts: workspaces, each with the fraction of its limits.
    """

    name: str
    stamp: float
    parts: tuple[tuple[str, float], ...]


Fact = Member | TargetFact | Listing | Hold | Observation | Load | Demand
