"""
What the gossip's state machine asks of its surroundings.
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
    A fact was news.
    """

    fact: Fact


@dataclass(frozen=True, slots=True)
class DeliverMessage:
    """
    A message of another part came in.
    """

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class StartProbe:
    """
    Ask a target for its status.
    """

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class ReadHostList:
    """
    Read the platform's host list; it is this agent's turn.
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
