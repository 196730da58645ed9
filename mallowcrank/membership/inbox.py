"""
Events that one agent's membership handles.
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
    Periodic timer event, sent a few times a second.
    """


@dataclass(frozen=True, slots=True)
class Opened:
    """
    A connection was opened.

    :param address: the address that was dialed; empty for an accepted
        connection.
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
    A connection was closed.
    """

    link: int


@dataclass(frozen=True, slots=True)
class Received:
    """
    A message was received.
    """

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class Probed:
    """
    A probe has finished.
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
    This host's router sent a hello or a report, or its connection was lost.
    """

    report: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Publish:
    """
    Publish facts of another part of the agent.
    """

    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class Broadcast:
    """
    Send a message of another part of the agent to all connected agents.
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
