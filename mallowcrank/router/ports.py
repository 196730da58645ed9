"""
The interfaces between the router's request path and its policies.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from mallowcrank.changes import ViewChanges
from mallowcrank.refusals import Refused
from mallowcrank.routing.stage import Stage
from mallowcrank.view import View


@dataclass(frozen=True, slots=True)
class Ticket:
    """
    A request for admission.

    :param request: the request's id.
    :param workspace: `BRANCH/WORKSPACE`.
    :param deadline: steady time in seconds at which the caller gives up.
    :param priority: order within the branch; a higher number goes first.
    :param tokens: estimated cost in tokens; 0 for a service.
    :param serves: the model's or service's name.
    :param is_service: whether the request calls a plain service.
    """

    request: str
    workspace: str
    deadline: float
    priority: int
    tokens: int
    serves: str
    is_service: bool = False


class AdmissionPort(Protocol):
    """
    Decides when a request starts: limits, fair queues, reserved capacity.
    """

    def admit(self, ticket: Ticket) -> Refused | None:
        """
        Wait until the request may start, or refuse it before its deadline.

        :returns: the refusal, or `None` if the request may start.
        """

    def release(self, ticket: Ticket, tokens: int) -> None:
        """
        Release the capacity that the request held.

        :param tokens: its actual cost in tokens.
        """

    def step_priority(self, ticket: Ticket) -> int:
        """
        Return the priority of a request's steps on engines.

        The priority follows the branches' shares, never the one that the caller
        asked for, so that the order on engines can't undo the fairness.
        """

    def demands(self) -> Mapping[str, float]:
        """
        Return the demand by workspace, for the report to the agent.
        """

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Apply new settings and targets.

        :param changes: the difference from the previous view, if known.
        """


@dataclass(frozen=True, slots=True)
class Route:
    """
    A path of engines that covers a model's layers in order.
    """

    stages: tuple[Stage, ...]

    def __str__(self) -> str:
        return ','.join(
            f'{stage.target}:{stage.first_layer}-{stage.last_layer}'
            for stage in self.stages
        )


@dataclass(frozen=True, slots=True)
class RouteDemand:
    """
    The input of the choice of a route.

    :param serves: the model's name.
    :param prefix: hashes of the prompt's 16-token blocks, in order.
    :param prompt_tokens: tokens to process before the first new one.
    :param avoid: names of targets that recently failed this stream.
    """

    stream: str
    workspace: str
    serves: str
    prefix: tuple[str, ...] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()


class RoutePort(Protocol):
    """
    Chooses targets, and records the outcomes of calls to them.
    """

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Choose a path of engines and count it as in flight.
        """

    def release_path(self, stream: str) -> None:
        """
        Record that a stream no longer uses its path.
        """

    def choose_replica(
        self, service: str, avoid: frozenset[str]
    ) -> str | Refused:
        """
        Choose a replica of a plain service and count the call in flight.
        """

    def release_replica(self, target: str) -> None:
        """
        Record that a call to a replica has ended.
        """

    def record_success(self, target: str, seconds: float) -> None:
        """
        Record that a target answered a call.

        :param seconds: duration of the call.
        """

    def record_failure(
        self, target: str, incarnation: int, reason: str
    ) -> None:
        """
        Record that a target failed a call or stopped responding.
        """

    def spend_retry(self, serves: str) -> bool:
        """
        Spend one retry of the pool's budget.

        :returns: whether a retry was left.
        """

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Apply new settings and targets.

        :param changes: the difference from the previous view, if known.
        """


class FollowerPort(Protocol):
    """
    Reads the events that targets publish, for the policies.
    """

    def start(self) -> None:
        """
        Start reading.
        """

    def stop(self) -> None:
        """
        Stop reading.
        """
