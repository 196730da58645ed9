"""
What this gateway tells the others, and what it makes of their words.
"""

from mallowcrank.chains.memory import Told
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.duty import Duty, takes_over
from mallowcrank.gateway.followers import KnownDesired
from mallowcrank.gateway.peers import Word


class Gossip:
    """
    The words between gateways.
    """

    def __init__(
        self,
        core: Core,
        known: KnownDesired,
        duty: Duty,
        incarnation: str,
    ) -> None:
        self._core = core
        self._known = known
        self._duty = duty
        self._incarnation = incarnation
        self._held_at = monotonic_s()
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
    def holding(self) -> int:
        """
        Return the generation in which this gateway places layers, or 0.
        """
        if self.is_stopping:
            return 0
        now = monotonic_s()
        if self._duty.holding:
            self._held_at = now
            return self._duty.holding
        others = [peer.word for peer in self._core.peers.live()]
        if 2 * len(others) + 1 < self._core.peers.count():
            return 0
        mine = self._core.settings.host
        return int(takes_over(mine, others, now - self._held_at))

    def word(self) -> Word:
        """
        Return what this gateway says.
        """
        settings = self._core.settings
        seen = self._core.fleet.seen
        now = monotonic_s()
        return Word(
            host=settings.host,
            incarnation=self._incarnation,
            zone=settings.zone,
            front=settings.listening.front,
            gossip=settings.gossip,
            peers=settings.listening.peers,
            takes_callers=self.is_ready,
            desired_version=self._known.version,
            # One that stops holds nothing: others don't wait for it.
            holding=0 if self.is_stopping else self._duty.holding,
            reserved=self._core.ledger.own(),
            silent=tuple(lifetime.identity for lifetime in seen.dead()),
            paces=seen.slow(now),
            layers=seen.learned(now),
        )

    def hear(self, word: Word) -> None:
        """
        Take in what another gateway says.
        """
        now = monotonic_s()
        fleet = self._core.fleet
        self._core.ledger.hear(word.host, Told(now, word.reserved))
        self._duty.hear(word)
        if word.holding:
            self._held_at = now
        for identity, pace in word.paces.items():
            target = fleet.find(identity)
            if target:
                fleet.seen.hear_pace(target.lifetime, pace, now)
        for identity, layers in word.layers.items():
            fleet.learn_layers(identity, layers, now, told_me=False)
        for identity in word.silent:
            target = fleet.find(identity)
            if target and target.lifetime not in fleet.seen.dead():
                self._core.prober.suspect((target.lifetime,))

    def takers(self) -> list[Word]:
        """
        Return the words of the gateways that take callers.
        """
        words = [self.word(), *(peer.word for peer in self._core.peers.live())]
        return [word for word in words if word.takes_callers]

    def routers(self) -> tuple[str, list[str]]:
        """
        Return this gateway's host, and those of all that are live.
        """
        mine = self._core.settings.host
        others = [peer.word.host for peer in self._core.peers.live()]
        return mine, [mine, *others]

    def engine_services(self) -> list[str]:
        """
        Return the services whose targets are model engines.
        """
        known = self._known.newest
        services = known.services.values() if known else ()
        return [service.name for service in services if service.engine]
