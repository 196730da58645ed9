"""
Conversion of the reports of this host's router to facts.
"""

from collections.abc import Iterator, Mapping
from dataclasses import replace
from typing import Any

from mallowcrank.membership import queries
from mallowcrank.membership.facts import Demand, Fact, Load, Member
from mallowcrank.membership.store import FactStore
from mallowcrank.view import MAX_DEMANDS, demand_interval_s

ROUTER_PREFIX = 'router:'  # marks the load fact of a router
MAX_LOADS_PER_S = 20  # load facts published by all agents together
MIN_DEMAND_CHANGE = 0.25  # of the old demand or even share, the larger one
DEMAND_DIGITS = 4


def with_router(local_member: Member, report: Mapping[str, Any]) -> Member:
    """
    Return an agent's member fact, updated from a message about its router.

    :param report: a `hello` or `report` of the router, or `lost` from the feed
        when the router's last connection was closed.
    """
    if report.get('type') == 'hello':
        return replace(
            local_member,
            router=str(report['router']),
            router_address=str(report['address']),
            router_incarnation=str(report['incarnation']),
            router_leaving=False,
        )
    if report.get('type') == 'lost':
        return _without_router(local_member, str(report.get('router')))
    return replace(local_member, router_leaving=bool(report.get('leaving')))


def _without_router(local_member: Member, router: str) -> Member:
    if router != local_member.router:
        return local_member
    return replace(
        local_member,
        router='',
        router_address='',
        router_incarnation='',
        router_leaving=True,
    )


def router_facts(
    store: FactStore,
    local_member: Member,
    report: Mapping[str, Any],
    wall: float,
) -> Iterator[Fact]:
    """
    Yield the router's load and demand, as often as the rate limit allows.

    :param wall: seconds since the epoch.
    """
    if not local_member.router or report.get('type') != 'report':
        return
    agents = store.count('m')
    known: Load | None = store.get(
        ('l', f'{ROUTER_PREFIX}{local_member.router}')
    )
    load = int(report.get('load') or 0)
    if should_publish_load(known, load, agents, wall):
        yield Load(f'{ROUTER_PREFIX}{local_member.router}', wall, load)
    demand = Demand(
        local_member.router, wall, _largest_parts(report.get('demand') or {})
    )
    if should_publish_demand(
        queries.demand(store, local_member.router), demand, agents
    ):
        yield demand


def should_publish_load(
    known: Load | None, load: int, count: int, wall: float
) -> bool:
    """
    Return whether a load is to be published.

    :param count: the number of targets or routers that publish a load.
    :param wall: seconds since the epoch.
    """
    if known is None:
        return True
    waited_s = wall - known.stamp
    return known.load != load and waited_s >= count / MAX_LOADS_PER_S


def should_publish_demand(
    known: Demand | None, demand: Demand, agents: int
) -> bool:
    """
    Return whether a demand is to be published.
    """
    if known is None:
        return bool(demand.parts)
    waited_s = demand.stamp - known.stamp
    entries = max(len(known.parts), len(demand.parts))
    if waited_s < demand_interval_s(agents, entries):
        return False
    before, after = dict(known.parts), dict(demand.parts)
    even_share = 1 / max(1, agents)
    return any(
        abs(before.get(name, 0) - after.get(name, 0))
        > MIN_DEMAND_CHANGE * max(before.get(name, 0), even_share)
        for name in before | after
    )


def _largest_parts(demand: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    sorted_parts = sorted(demand.items(), key=lambda entry: -float(entry[1]))
    return tuple(
        (str(name), round(float(part), DEMAND_DIGITS))
        for name, part in sorted_parts[:MAX_DEMANDS]
    )
