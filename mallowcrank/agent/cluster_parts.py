"""
Builds the parts by which an agent works with others.
"""

from dataclasses import dataclass

from mallowcrank.agent.ports import GossipPort, MembershipPort
from mallowcrank.context import Environment
from mallowcrank.leases.part import OrdersEnvironment, OrdersPart
from mallowcrank.leases.records import timings_for
from mallowcrank.membership.inbox import Publish
from mallowcrank.membership.part import MembershipEnvironment, MembershipPart
from mallowcrank.metrics import Metrics, NoMetrics, open_metrics
from mallowcrank.platform.hosts import HttpHostList
from mallowcrank.platform.log import HttpLog
from mallowcrank.settings import AgentSettings
from mallowcrank.timeline import Timeline


@dataclass(frozen=True)
class ClusterParts:
    """
    The parts by which an agent works with others.

    :param orders: runs orders under leases.
    """

    membership: MembershipPort
    gossip: GossipPort
    orders: OrdersPart
    metrics: Metrics = NoMetrics()


def build_cluster_parts(
    settings: AgentSettings, environment: Environment, timeline: Timeline
) -> ClusterParts:
    """
    Build membership, gossip and orders from the agent's settings.
    """
    platform = MembershipEnvironment(
        HttpHostList(settings.host_list),
        environment.clock,
        timeline,
        open_metrics(settings.host_settings.statsd, 'agent'),
    )
    membership = MembershipPart(settings, platform)
    orders = OrdersPart(
        OrdersEnvironment(
            holder=f'{settings.host_settings.host}.{environment.random.getrandbits(48):x}',
            weights=settings.weights,
            platform_log=HttpLog(settings.log),
            targets=membership.targets,
            publish=lambda hold: membership.submit_event(Publish((hold,))),
            clock=environment.clock,
            timeline=timeline,
            timings=timings_for(settings.lease_s),
        )
    )
    return ClusterParts(membership, membership.gossip, orders, platform.metrics)
