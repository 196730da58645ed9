"""
Effects that the membership state machine returns to its caller.
"""

from dataclasses import dataclass

from mallowcrank.membership.facts import Fact
from mallowcrank.membership.messages import Message


@dataclass(frozen=True, slots=True)
class Instant:
    """
    A point in time.

    :param steady: seconds on the host's monotonic clock.
    :param wall: seconds since the epoch.
    """

    steady: float
    wall: float


@dataclass(frozen=True, slots=True)
class Connect:
    """
    Open a connection.
    """

    address: str


@dataclass(frozen=True, slots=True)
class Close:
    """
    Close a connection.
    """

    link: int
    reason: str


@dataclass(frozen=True, slots=True)
class Send:
    """
    Send a message on a connection.
    """

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class FactUpdated:
    """
    A fact was added, or replaced an older one.
    """

    fact: Fact


@dataclass(frozen=True, slots=True)
class DeliverMessage:
    """
    Deliver a received message to another part of this agent.
    """

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class StartProbe:
    """
    Request a target's status.
    """

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class ReadHostList:
    """
    Read the platform's host list.
    """


Effect = (
    Connect
    | Close
    | Send
    | FactUpdated
    | DeliverMessage
    | StartProbe
    | ReadHostList
)
