"""
The parts that make an agent one of many: membership, gossip, orders.
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
class Neighbours:
    """
    The parts that other modules bring to the agent.

    :param orders: leases and orders.
    """

    membership: MembershipPort
    gossip: GossipPort
    orders: OrdersPart
    metrics: Metrics = NoMetrics()


def join(
    settings: AgentSettings, environment: Environment, timeline: Timeline
) -> Neighbours:
    """
    Return the parts of an agent that joins others.
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
    return Neighbours(membership, membership.gossip, orders, platform.metrics)
