"""
The ports inside the agent, between settings, membership and the feed.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from mallowcrank.ports import LogPage
from mallowcrank.view import Peer, Target

Listener = Callable[[bool], None]
Body = Mapping[str, Any]
Handler = Callable[[Body], Body | None]


class MembershipPort(Protocol):
    """
    What the agents believe of targets and of each other's routers.

    All methods may be called from any thread and return at once.
    """

    def targets(self) -> Mapping[str, Target]:
        """
        Return the known targets by name.
        """

    def peers(self) -> Mapping[str, Peer]:
        """
        Return the known routers by name, this host's among them.
        """

    def apply_report(self, report: Body) -> None:
        """
        Take in a `report` or `hello` of this host's router, as on the wire.
        """

    def announce_leaving(self) -> None:
        """
        Tell peers that this host is leaving.
        """

    def on_change(self, listener: Listener) -> None:
        """
        Call a listener after targets or peers have changed.

        It is told whether more than their loads and demands has.
        """

    def start(self) -> None:
        """
        Start the threads of this part.
        """

    def stop(self) -> None:
        """
        Stop the threads of this part.
        """


class GossipPort(Protocol):
    """
    Messages between agents.

    Each topic has one handler. Its answer goes back to a peer that asked, and
    is dropped for a message that was sent.
    """

    def send(self, topic: str, body: Body) -> None:
        """
        Spread a message to all peers, by way of some of them.

        The receivers' handlers spread it further where it was new to them.
        """

    def ask(
        self, peer: str, topic: str, body: Body, timeout_s: float
    ) -> Body | None:
        """
        Ask one peer, and return its answer or `None`.

        :param peer: `IP:PORT` of another agent, as `addresses` gives it.
        """

    def addresses(self) -> tuple[str, ...]:
        """
        Return the addresses of agents that may be asked, the best first.
        """

    def handle(self, topic: str, handler: Handler) -> None:
        """
        Set the handler of a topic.
        """


class LogSink(Protocol):
    """
    A part that follows the platform's log.
    """

    def apply_page(self, page: LogPage) -> None:
        """
        Take in what was read, in order; pages may overlap.
        """

    def apply_outage(self, reason: str) -> None:
        """
        Take in that a read failed.
        """
