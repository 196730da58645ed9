"""
Messages to the driver of streams.
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

    :param request: the request's id, for the time line.
    :param demand: what it needs a route for.
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
    The caller no longer wants a stream.
    """

    stream: str
    refused: Refused


@dataclass(frozen=True, slots=True)
class DeadlineDue:
    """
    A stream's deadline has come.
    """

    stream: str


@dataclass(frozen=True, slots=True)
class RouteWaitOver:
    """
    Look for a path again.
    """

    stream: str


@dataclass(frozen=True, slots=True)
class TransferEnded:
    """
    A KV transfer was done, or failed.

    :param size: bytes of the exported state.
    """

    stream: str
    attempt: int
    done: bool
    size: int = 0
    seconds: float = 0


@dataclass(frozen=True)
class UpdateView:
    """
    Targets or settings have changed.

    :param changes: what differs from the view before, where it is known.
    """

    view: View
    changes: ViewChanges | None = None


@dataclass(frozen=True, slots=True)
class LeaveTarget:
    """
    Streams should move off a target now.
    """

    target: str
