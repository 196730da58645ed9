"""
The facts that agents spread.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from mallowcrank.view import TargetKind

AGENT_PREFIX = 'agent:'  # subject of an observation about an agent


@unique
class MemberState(StrEnum):
    """
    What is believed of an agent.
    """

    ALIVE = 'alive'
    LEAVING = 'leaving'
    DEAD = 'dead'


@unique
class Verdict(StrEnum):
    """
    What one observer found.
    """

    FAILED = 'failed'
    ALIVE = 'alive'


@dataclass(frozen=True, slots=True)
class Member:
    """
    An agent, and the router on its host.

    :param incarnation: milliseconds since the epoch of its start, or more
        when it had to refute a suspicion.
    :param stamp: seconds since the epoch of the last change.
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
    A target as its own status described it.

    :param leaving: it said that it is leaving; holds for the incarnation.
    :param gone: it is dead by the evidence of several.
    :param fencing: `checks`, `ignores` or `unstated`.
    :param stamp: seconds since the epoch of the last change.
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
    What the platform's host list said of a target.

    :param stamp: seconds since the epoch when it was read.
    :param incarnation: the target's incarnation known to the reader.
    :param present: whether the list had it.
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
    An order is at work on a target, which takes no new work meanwhile.

    :param fence: the lease's fencing number.
    :param until: seconds since the epoch; the hold ends then by itself.
    """

    name: str
    fence: int
    number: int
    active: bool
    until: float


@dataclass(frozen=True, slots=True)
class Observation:
    """
    What one observer found of a target or agent.

    :param subject: a target's name, or `agent:NAME`.
    :param stamp: seconds since the epoch.
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
    The load of a target, or of a router as `router:NAME`; a mere hint.
    """

    name: str
    stamp: float
    load: int


@dataclass(frozen=True, slots=True)
class Demand:
    """
    What the callers of a router ask for; a mere hint.

    :param name: the router.
    :param parts: workspaces, each with the part of its limits.
    """

    name: str
    stamp: float
    parts: tuple[tuple[str, float], ...]


Fact = Member | TargetFact | Listing | Hold | Observation | Load | Demand
