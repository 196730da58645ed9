"""
The ports inside the router, between the request path and its policies.
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
    A request that asks to be admitted.

    :param request: the request's id.
    :param workspace: `BRANCH/WORKSPACE`.
    :param deadline: steady time in seconds at which the caller gives up.
    :param priority: order inside the branch; a higher number goes first.
    :param tokens: estimate of the tokens that it will cost; 0 for a service.
    :param serves: the model's or service's name.
    :param is_service: whether it is a plain service's call.
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
    Decides when a request starts: limits, fair queues, reserved room.
    """

    def admit(self, ticket: Ticket) -> Refused | None:
        """
        Wait until the request may start, or refuse it in good time.
        """

    def release(self, ticket: Ticket, tokens: int) -> None:
        """
        Give back what the request held.

        :param tokens: what it really cost.
        """

    def step_priority(self, ticket: Ticket) -> int:
        """
        Return the priority for a request's steps on engines.

        It follows the branches' shares, never the caller's own wish, so that
        the engines' order can't undo the fairness.
        """

    def demands(self) -> Mapping[str, float]:
        """
        Return the demand by workspace for the report to the agent.
        """

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Take over new settings and targets.

        :param changes: what differs from the view before, where it is known.
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
    What a request needs a route for.

    :param serves: the model's name.
    :param prefix: hashes of the prompt's 16-token blocks, the first one first.
    :param prompt_tokens: tokens to run before the first new one.
    :param avoid: names of targets that just failed this stream.
    """

    stream: str
    workspace: str
    serves: str
    prefix: tuple[str, ...] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()


class RoutePort(Protocol):
    """
    Chooses targets, and learns from what became of them.
    """

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Choose a path of engines and count it as in flight.
        """

    def release_path(self, stream: str) -> None:
        """
        A stream no longer uses its path.
        """

    def choose_replica(
        self, service: str, avoid: frozenset[str]
    ) -> str | Refused:
        """
        Choose a replica of a plain service and count the call in flight.
        """

    def release_replica(self, target: str) -> None:
        """
        A call to a replica is over.
        """

    def record_success(self, target: str, seconds: float) -> None:
        """
        A target answered a call.
        """

    def record_failure(
        self, target: str, incarnation: int, reason: str
    ) -> None:
        """
        A target failed a call or went silent.
        """

    def spend_retry(self, serves: str) -> bool:
        """
        Spend one retry out of the pool's budget, where one is left.
        """

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Take over new settings and targets.

        :param changes: what differs from the view before, where it is known.
        """


class FollowerPort(Protocol):
    """
    Follows what targets publish, for the policies.
    """

    def start(self) -> None:
        """
        Start to follow.
        """

    def stop(self) -> None:
        """
        Stop to follow.
        """
