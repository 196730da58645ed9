"""
Waiting until a version of the settings is in force on all live routers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank.operators.client import OperatorClient
from mallowcrank.operators.concurrent_calls import fetch_statuses
from mallowcrank.ports import Failure

POLL_INTERVAL_S = 0.1

Statuses = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Lag:
    """
    A router or agent that does not have a version in force.

    :param version: what it has, or `None` where that is unknown.
    """

    name: str
    version: int | None
    reason: str = ''


def wait_until_in_force(
    client: OperatorClient, version: int, deadline: float
) -> tuple[Lag, ...]:
    """
    Wait until each live router has a version in force.

    Who is seen to have it is not asked again, unless all that is missing are
    routers that only others name: those may have left meanwhile.

    :param deadline: steady time in seconds at which to give up.
    :returns: those that don't have it; empty on success.
    """
    agents = fetch_statuses(client.settings.agents)
    routers = fetch_statuses(client.settings.routers)
    while True:
        lags = find_lags(agents, routers, version)
        if not lags or client.steady() >= deadline:
            return lags
        client.sleep(POLL_INTERVAL_S)
        behind = {**_behind(agents, version), **_behind(routers, version)}
        asked = behind or {**agents, **routers}
        agents |= fetch_statuses(agents.keys() & asked.keys())
        routers |= fetch_statuses(routers.keys() & asked.keys())


def find_lags(
    agents: Statuses, routers: Statuses, version: int
) -> tuple[Lag, ...]:
    """
    Return the live routers that do not have a version in force.

    :param agents: each asked agent's status, or a `Failure`, by its address.
    :param routers: the same of the routers that were asked themselves.
    """
    lags = [
        *_lags_of('agent', agents, version),
        *_lags_of('router', routers, None),
    ]
    known: dict[str, int] = {}
    live: set[str] = set()
    for status in _answered(agents):
        known.update(status.get('routers', {}))
        live |= _live(status.get('peers', {}))
    for status in _answered(routers):
        known[status['host']] = status['version']
    for name in sorted(live | known.keys()):
        if known.get(name, -1) < version:
            lags.append(Lag(f'router {name}', known.get(name)))
    return tuple(lags)


def _lags_of(
    kind: str, statuses: Statuses, version: int | None
) -> Iterable[Lag]:
    """
    Yield who did not answer, and who has less than a version.
    """
    for address, status in statuses.items():
        name = f'{kind} {address}'
        if isinstance(status, Failure):
            yield Lag(name, None, status.reason)
        elif version is not None and status['version'] < version:
            yield Lag(name, status['version'])


def _behind(statuses: Statuses, version: int) -> Statuses:
    return {
        address: status
        for address, status in statuses.items()
        if isinstance(status, Failure) or _oldest(status) < version
    }


def _oldest(status: Mapping[str, Any]) -> int:
    return min((status['version'], *status.get('routers', {}).values()))


def _answered(statuses: Statuses) -> Iterable[Mapping[str, Any]]:
    return (
        status
        for status in statuses.values()
        if not isinstance(status, Failure)
    )


def _live(peers: Mapping[str, Any]) -> set[str]:
    return {name for name, peer in peers.items() if not peer['leaving']}
