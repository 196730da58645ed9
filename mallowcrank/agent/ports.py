"""
Interfaces between the agent's parts: settings, membership and feed.
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
    The targets and routers that the agents know of.

    All methods are thread-safe and don't block.
    """

    def targets(self) -> Mapping[str, Target]:
        """
        Return the known targets by name.
        """

    def peers(self) -> Mapping[str, Peer]:
        """
        Return the known routers by name, including this host's.
        """

    def apply_report(self, report: Body) -> None:
        """
        Apply a message of this host's router.

        :param report: a `report`, `hello` or `lost` message.
        """

    def announce_leaving(self) -> None:
        """
        Announce to peers that this host is leaving.
        """

    def on_change(self, listener: Listener) -> None:
        """
        Add a listener for changes of targets or peers.

        :param listener: called after each change, with whether more than loads
            and demands has changed.
        """

    def start(self) -> None:
        """
        Start the part's threads.
        """

    def stop(self) -> None:
        """
        Stop the part's threads.
        """


class GossipPort(Protocol):
    """
    Messages between agents.

    Each topic has one handler. The handler's result is returned to a peer that
    called `ask`, and discarded for a message from `send`.
    """

    def send(self, topic: str, body: Body) -> None:
        """
        Spread a message to all peers by gossip, through some of them.

        A receiver's handler sends the message on if it is new there.
        """

    def ask(
        self, peer: str, topic: str, body: Body, timeout_s: float
    ) -> Body | None:
        """
        Send a request to one peer.

        :returns: the peer's answer, or `None` if there was none.

        :param peer: `IP:PORT` of another agent, as returned by `addresses`.
        """

    def addresses(self) -> tuple[str, ...]:
        """
        Return the addresses of agents that may be asked, best first.
        """

    def handle(self, topic: str, handler: Handler) -> None:
        """
        Register the handler of a topic.
        """


class LogSink(Protocol):
    """
    A part that consumes the platform's log.
    """

    def apply_page(self, page: LogPage) -> None:
        """
        Apply a page of the log.

        Pages arrive in order but may overlap.
        """

    def apply_outage(self, reason: str) -> None:
        """
        Record that the log could not be read.

        :param reason: why the read failed.
        """
