"""
What can happen to one agent's membership.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank.membership.facts import Fact
from mallowcrank.membership.messages import Message
from mallowcrank.membership.reports import ProbeResult
from mallowcrank.ports import ListedHost


@dataclass(frozen=True, slots=True)
class Start:
    """
    The agent starts.
    """


@dataclass(frozen=True, slots=True)
class Leave:
    """
    The host is leaving.
    """


@dataclass(frozen=True, slots=True)
class Tick:
    """
    Time has passed; comes a few times a second.
    """


@dataclass(frozen=True, slots=True)
class Opened:
    """
    A connection is open.

    :param address: where it was opened to; empty for an accepted one.
    """

    link: int
    address: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """
    A connection could not be opened.
    """

    address: str


@dataclass(frozen=True, slots=True)
class Closed:
    """
    A connection ended.
    """

    link: int


@dataclass(frozen=True, slots=True)
class Received:
    """
    A message came in.
    """

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class Probed:
    """
    A probe is over.
    """

    outcome: ProbeResult


@dataclass(frozen=True, slots=True)
class Listed:
    """
    The platform's host list was read.
    """

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class Reported:
    """
    This host's router said hello, or reported.
    """

    report: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Publish:
    """
    Another part of the agent has facts to spread.
    """

    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class Broadcast:
    """
    Another part of the agent has a message for all connected agents.
    """

    topic: str
    body: Mapping[str, Any]


Event = (
    Start
    | Leave
    | Tick
    | Opened
    | Unreachable
    | Closed
    | Received
    | Probed
    | Listed
    | Reported
    | Publish
    | Broadcast
)
