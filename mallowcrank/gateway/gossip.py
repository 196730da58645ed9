"""
What this gateway tells the others, and what it makes of their words.
"""

from mallowcrank.chains.memory import Told
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.followers import LatestDesired
from mallowcrank.gateway.leadership import Leadership, should_take_over
from mallowcrank.gateway.peers import GatewayStatus
from mallowcrank.gateway.steady import steady


class Gossip:
    """
    The words between gateways.
    """

    def __init__(
        self,
        core: Core,
        known: LatestDesired,
        duty: Leadership,
        incarnation: str,
    ) -> None:
        self._core = core
        self._known = known
        self._duty = duty
        self._incarnation = incarnation
        self._held_at = steady()
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """
        Return whether callers should come.
        """
        return (
            not self.is_stopping
            and self._known.newest is not None
            and len(self._core.fleet) > 0
        )

    @property
    def leader_generation(self) -> int:
        """
        Return the generation in which this gateway places layers, or 0.
        """
        if self.is_stopping:
            return 0
        now = steady()
        if self._duty.leader_generation:
            self._held_at = now
            return self._duty.leader_generation
        others = [peer.last_status for peer in self._core.peers.live()]
        if 2 * len(others) + 1 < self._core.peers.count():
            return 0
        mine = self._core.settings.host
        return int(should_take_over(mine, others, now - self._held_at))

    def own_status(self) -> GatewayStatus:
        """
        Return what this gateway says.
        """
        settings = self._core.settings
        seen = self._core.fleet.health
        now = steady()
        return GatewayStatus(
            host=settings.host,
            incarnation=self._incarnation,
            zone=settings.zone,
            front=settings.listening.front,
            gossip=settings.gossip,
            peers=settings.listening.peers,
            accepts_callers=self.is_ready,
            desired_version=self._known.version,
            # One that stops holds nothing: others don't wait for it.
            leader_generation=0
            if self.is_stopping
            else self._duty.leader_generation,
            reserved=self._core.ledger.own(),
            unresponsive_targets=tuple(
                lifetime.identity for lifetime in seen.unresponsive()
            ),
            paces=seen.slow_paces(now),
            layers=seen.reported_layers(now),
        )

    def handle_status(self, word: GatewayStatus) -> None:
        """
        Take in what another gateway says.
        """
        now = steady()
        fleet = self._core.fleet
        self._core.ledger.hear(word.host, Told(now, word.reserved))
        self._duty.handle_status(word)
        if word.leader_generation:
            self._held_at = now
        for identity, pace in word.paces.items():
            target = fleet.find(identity)
            if target:
                fleet.health.record_peer_pace(target.lifetime, pace, now)
        for identity, layers in word.layers.items():
            fleet.update_layers(identity, layers, now, is_direct=False)
        for identity in word.unresponsive_targets:
            target = fleet.find(identity)
            if target and target.lifetime not in fleet.health.unresponsive():
                self._core.prober.probe((target.lifetime,))

    def accepting_gateways(self) -> list[GatewayStatus]:
        """
        Return the words of the gateways that take callers.
        """
        words = [
            self.own_status(),
            *(peer.last_status for peer in self._core.peers.live()),
        ]
        return [word for word in words if word.accepts_callers]

    def live_hosts(self) -> tuple[str, list[str]]:
        """
        Return this gateway's host, and those of all that are live.
        """
        mine = self._core.settings.host
        others = [peer.last_status.host for peer in self._core.peers.live()]
        return mine, [mine, *others]

    def engine_services(self) -> list[str]:
        """
        Return the services whose targets are model engines.
        """
        known = self._known.newest
        services = known.services.values() if known else ()
        return [service.name for service in services if service.engine]
