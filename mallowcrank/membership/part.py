"""
The membership part of the agent: actor, connections, probes and ports.
"""

from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Any

from mallowcrank.agent.loops import Loop
from mallowcrank.agent.ports import Body, Listener
from mallowcrank.clock import Clock
from mallowcrank.membership.actor import (
    ActorDependencies,
    MembershipActor,
    MembershipView,
)
from mallowcrank.membership.facts import Member, MemberState
from mallowcrank.membership.inbox import (
    Leave,
    Listed,
    Probed,
    Reported,
    Start,
    Tick,
)
from mallowcrank.membership.membership import Membership
from mallowcrank.membership.peer_messaging import PeerMessaging
from mallowcrank.membership.prober import HttpProber
from mallowcrank.membership.reports import ProbeResult
from mallowcrank.membership.streams import PeerSettings, PeerStreams
from mallowcrank.metrics import Metrics
from mallowcrank.ports import Failure, HostListPort
from mallowcrank.settings import AgentSettings
from mallowcrank.timeline import Timeline
from mallowcrank.view import Peer, Target

TICK_INTERVAL_S = 0.25
FINAL_FLUSH_S = 0.3  # to send queued messages before connections are closed
MS_PER_S = 1000


@dataclass(frozen=True)
class MembershipEnvironment:
    """
    The services of the agent that membership uses.
    """

    host_list: HostListPort
    clock: Clock
    timeline: Timeline
    metrics: Metrics


class MembershipPart:
    """
    Implements `MembershipPort` for a running agent.
    """

    def __init__(
        self, settings: AgentSettings, environment: MembershipEnvironment
    ) -> None:
        self._settings = settings
        self._environment = environment
        self._view = MembershipView()
        self._listeners: list[Listener] = []
        self._list_reader = ThreadPoolExecutor(1, 'hosts')
        self._prober = HttpProber(
            partial(
                _submit_probe_result, self.submit_event, environment.metrics
            )
        )
        self._streams = PeerStreams(
            PeerSettings(settings.listen, settings.keys), self.submit_event
        )
        self._messaging = PeerMessaging(
            settings, self._streams, self.submit_event
        )
        self._actor_ref = MembershipActor.start(
            Membership(
                _new_member(settings, environment.clock), settings.peers
            ),
            self._dependencies(),
        )
        self._actor = self._actor_ref.proxy()
        self._messaging.use_actor(self._actor)
        self._ticker = Loop('ticks', self._tick)

    @property
    def gossip(self) -> PeerMessaging:
        """
        Return the `GossipPort`.
        """
        return self._messaging

    # Queries

    def targets(self) -> Mapping[str, Target]:
        """
        Return the known targets by name.
        """
        return self._view.targets

    def peers(self) -> Mapping[str, Peer]:
        """
        Return the known routers by name, including this host's own.
        """
        return self._view.peers

    # Commands

    def start(self) -> None:
        """
        Bind the address and start all threads.

        :raises OSError: when the address can't be bound.
        """
        self._streams.start()
        self.submit_event(Start())
        self._ticker.start()

    def stop(self) -> None:
        """
        Stop all threads, after the last messages were sent.
        """
        self._ticker.stop()
        self._actor.addresses().get()
        self._environment.clock.sleep(FINAL_FLUSH_S)
        self._streams.stop()
        self._prober.stop()
        self._messaging.stop()
        self._list_reader.shutdown(wait=False, cancel_futures=True)
        self._actor_ref.stop()

    def submit_event(self, event: Any) -> None:
        """
        Queue an event for the actor, without waiting.
        """
        if self._actor_ref.is_alive():
            self._actor.handle_event.defer(event)

    def apply_report(self, report: Body) -> None:
        """
        Apply a `report`, `hello` or `lost` message about this host's router.
        """
        self.submit_event(Reported(dict(report)))

    def announce_leaving(self) -> None:
        """
        Announce to peers that this host is leaving.
        """
        self.submit_event(Leave())

    def on_change(self, listener: Listener) -> None:
        """
        Register a listener for changes of targets or peers.

        Its argument is whether anything but loads and demands has changed.
        """
        self._listeners.append(listener)

    def _dependencies(self) -> ActorDependencies:
        return ActorDependencies(
            connect=self._streams.connect,
            send=self._streams.send,
            close=self._streams.close,
            probe=self._prober.start,
            read_list=lambda: self._list_reader.submit(self._read_list),
            handle_message=self._messaging.handle_message,
            publish_view=self._publish_view,
            clock=self._environment.clock,
            timeline=self._environment.timeline,
            metrics=self._environment.metrics,
        )

    def _tick(self) -> float:
        self.submit_event(Tick())
        return TICK_INTERVAL_S

    def _read_list(self) -> None:
        hosts = self._environment.host_list.read()
        if not isinstance(hosts, Failure):
            self.submit_event(Listed(hosts))

    def _publish_view(self, view: MembershipView, is_urgent: bool) -> None:
        self._view = view
        for listener in self._listeners:
            listener(is_urgent)


def _submit_probe_result(
    submit_event: Callable[[Probed], None],
    metrics: Metrics,
    result: ProbeResult,
) -> None:
    if result.reason:
        metrics.incr('probes_failed')
    submit_event(Probed(result))


def _new_member(settings: AgentSettings, clock: Clock) -> Member:
    return Member(
        name=settings.host_settings.host,
        incarnation=int(clock.now() * MS_PER_S),
        version=0,
        state=MemberState.ALIVE,
        address=settings.listen,
        availability_zone=settings.host_settings.availability_zone,
    )
