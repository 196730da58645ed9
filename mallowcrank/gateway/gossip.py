"""
The status that this gateway sends, and the use of those that it receives.
"""

from mallowcrank.chains.memory import PeerReservations
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.leadership import Leadership, should_take_over
from mallowcrank.gateway.peers import is_isolated
from mallowcrank.gateway.prober import ProbeCause
from mallowcrank.gateway.targets import Target
from mallowcrank.gateway.targets_follower import TargetsFollower

ACTIVE_S = 0.1  # since an event that came through a target, which isn't silent


class Gossip:
    """
    Exchange of statuses with the other gateways.
    """

    def __init__(
        self,
        core: Core,
        desired: LatestDesired,
        targets: TargetsFollower,
        leadership: Leadership,
        incarnation: str,
    ) -> None:
        self._core = core
        self._desired = desired
        self._targets = targets
        self._leadership = leadership
        self._incarnation = incarnation
        self._leader_seen_at = monotonic_s()
        self._logged_view = (0, 0)
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """
        Return whether this gateway accepts callers.
        """
        return (
            not self.is_stopping
            and self._desired.newest is not None
            and len(self._core.fleet) > 0
        )

    @property
    def leader_generation(self) -> int:
        """
        Return the generation in which this gateway places layers, or 0.

        It also places layers, as generation 1, while it acts for a missing
        leader; not if it reaches fewer than half of the others, or no target,
        as its orders wouldn't arrive.
        """
        if self.is_stopping or self._core.proxies.reachability.is_cut_off:
            return 0
        now = monotonic_s()
        if self._leadership.leader_generation:
            self._leader_seen_at = now
            return self._leadership.leader_generation
        if is_isolated(self._core.peers):
            return 0
        others = [peer.last_status for peer in self._core.peers.live()]
        mine = self._core.settings.host
        return int(
            should_take_over(
                mine,
                others,
                now - self._leader_seen_at,
                self._core.peers.liveness_timeout_s,
            )
        )

    def log_view(self) -> None:
        """
        Log and count the other gateways, if their number has changed.
        """
        peers = self._core.peers
        view = (peers.count(), 1 + len(peers.live()))
        if view == self._logged_view:
            return
        self._logged_view = view
        known, live = view
        self._core.meters.gateways.labels('known').set(known)
        self._core.meters.gateways.labels('live').set(live)
        self._core.journal.say('peers: view changed', known=known, live=live)

    def own_status(self) -> GatewayStatus:
        """
        Return this gateway's status.
        """
        settings = self._core.settings
        target_health = self._core.fleet.health
        is_cut_off = self._core.proxies.reachability.is_cut_off
        now = monotonic_s()
        return GatewayStatus(
            host=settings.host,
            incarnation=self._incarnation,
            zone=settings.zone,
            front=settings.listening.front,
            gossip=settings.gossip,
            peers=settings.listening.peers,
            accepts_callers=self.is_ready,
            desired_version=self._desired.version,
            # A gateway that stops or reaches no target leads no more, so that
            # others can take over.
            leader_generation=0
            if self.is_stopping or is_cut_off
            else self._leadership.leader_generation,
            reserved=self._core.ledger.own_reservations(),
            unresponsive_targets=()
            if is_cut_off
            else tuple(
                lifetime.identity for lifetime in target_health.unresponsive()
            ),
            paces=target_health.slow_paces(now),
            layers=target_health.reported_layers(now),
            limits=self._core.limits.reports(),
            entries=self._targets.status(),
            suspects=self._core.suspects.report(),
            is_cut_off=is_cut_off,
            leaving=tuple(self._core.fleet.said_leaving),
            desired=self._desired.status(),
            view=self._targets.knowledge.view(),
        )

    def handle_status(self, status: GatewayStatus) -> None:
        """
        Handle another gateway's status.
        """
        now = monotonic_s()
        self._desired.hear(status)
        self._targets.knowledge.hear(status)
        fleet = self._core.fleet
        repeated_within_s = self._core.peers.liveness_timeout_s
        self._core.ledger.update_peer(
            status.host,
            PeerReservations(now, status.reserved, repeated_within_s),
        )
        self._leadership.handle_status(status)
        if status.leader_generation:
            self._leader_seen_at = now
        for identity, pace in status.paces.items():
            target = fleet.find(identity)
            if target:
                fleet.health.record_peer_pace(
                    target.lifetime, pace, now + repeated_within_s
                )
        for identity, layers in status.layers.items():
            fleet.update_layers(identity, layers, now, is_direct=False)
        for lifetime, limit in (status.limits or {}).items():
            self._core.limits.apply_report(lifetime, limit)
        for lifetime in status.leaving:
            fleet.record_leaving(lifetime, status.host)
        if status.suspects:
            self._core.prober.probe(
                self._core.suspects.apply(
                    status.suspects, self._core.has_ended
                ),
                ProbeCause.PEER,
            )
        for identity in status.unresponsive_targets:
            target = fleet.find(identity)
            if target and self._should_verify(status.host, target):
                self._core.prober.probe((target.lifetime,), ProbeCause.PEER)

    def is_silence_confirmed(self, identity: str) -> bool:
        """
        Return whether another gateway, the one that probes a target
        regularly, finds it silent.
        """
        host = self._core.prober.host_for(identity)
        return any(
            identity in peer.last_status.unresponsive_targets
            for peer in self._core.peers.live()
            if peer.last_status.host == host
        )

    def accepting_gateways(self) -> list[GatewayStatus]:
        """
        Return the statuses of the gateways that accept callers, also its own.
        """
        statuses = [
            self.own_status(),
            *(peer.last_status for peer in self._core.peers.live()),
        ]
        return [status for status in statuses if status.accepts_callers]

    def probing_hosts(self) -> tuple[str, list[str]]:
        """
        Return this gateway's host, and the hosts of all live gateways that
        reach targets.
        """
        mine = self._core.settings.host
        statuses = [peer.last_status for peer in self._core.peers.live()]
        hosts = [each.host for each in statuses if not each.is_cut_off]
        if not self._core.proxies.reachability.is_cut_off:
            hosts.append(mine)
        return mine, hosts

    def engine_services(self) -> list[str]:
        """
        Return the services whose targets are model engines.
        """
        known = self._desired.newest
        services = known.services.values() if known else ()
        return [service.name for service in services if service.engine]

    def _should_verify(self, reporter: str, target: Target) -> bool:
        """
        Return whether to probe a target that another gateway finds silent.

        Where no request of this gateway uses the target, its regular prober
        verifies the report first: most reports are of a stalled gateway. What
        the target has just sent to this gateway answers the question.
        """
        health = self._core.fleet.health
        if target.lifetime in health.unresponsive():
            return False
        if not health.idle_since((target.lifetime,), monotonic_s() - ACTIVE_S):
            return False
        prober = self._core.prober.host_for(target.identity)
        return prober in {
            reporter,
            self._core.settings.host,
        } or self._core.ledger.is_in_use(target.lifetime)
