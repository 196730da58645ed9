"""
Messages to the stream driver.
"""

from dataclasses import dataclass

from mallowcrank.changes import ViewChanges
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import RouteDemand
from mallowcrank.streams.state import Task
from mallowcrank.streams.token_queue import TokenQueue
from mallowcrank.view import View


@dataclass(frozen=True)
class OpenStream:
    """
    Start a stream.

    :param request: the request's id, for the timeline.
    :param demand: what the route is needed for.
    :param deadline: steady time in seconds.
    """

    task: Task
    request: str
    demand: RouteDemand
    deadline: float
    token_queue: TokenQueue


@dataclass(frozen=True, slots=True)
class CloseStream:
    """
    Cancel a stream that its caller no longer needs.
    """

    stream: str
    refused: Refused


@dataclass(frozen=True, slots=True)
class DeadlineDue:
    """
    A stream's deadline has passed.
    """

    stream: str


@dataclass(frozen=True, slots=True)
class RouteWaitOver:
    """
    The delay until the next attempt to find a path is over.
    """

    stream: str


@dataclass(frozen=True, slots=True)
class TransferEnded:
    """
    A transfer of KV state has ended.

    :param done: whether the state was imported.
    :param size: bytes of the exported state.
    :param seconds: duration of the transfer.
    """

    stream: str
    attempt: int
    done: bool
    size: int = 0
    seconds: float = 0


@dataclass(frozen=True)
class UpdateView:
    """
    The targets or settings have changed.

    :param changes: differences from the previous view, if known.
    """

    view: View
    changes: ViewChanges | None = None


@dataclass(frozen=True, slots=True)
class LeaveTarget:
    """
    Streams should leave a target now.
    """

    target: str
