"""
Waits until a settings version is in force on all live routers.
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
    A router or agent on which a version is not yet in force.

    :param version: the version in force there, or `None` if unknown.
    """

    name: str
    version: int | None
    reason: str = ''


def wait_until_in_force(
    client: OperatorClient, version: int, deadline: float
) -> tuple[Lag, ...]:
    """
    Wait until a version is in force on each live router.

    Only processes that lag are polled again. If only routers that were not
    polled themselves lag, all are: those routers may have left meanwhile.

    :param deadline: steady time in seconds at which to give up.
    :returns: the remaining lags; empty on success.
    """
    agents = fetch_statuses(client.settings.agents)
    routers = fetch_statuses(client.settings.routers)
    while True:
        lags = find_lags(agents, routers, version)
        if not lags or client.steady() >= deadline:
            return lags
        client.sleep(POLL_INTERVAL_S)
        lagging = {**_lagging(agents, version), **_lagging(routers, version)}
        polled = lagging or {**agents, **routers}
        agents |= fetch_statuses(agents.keys() & polled.keys())
        routers |= fetch_statuses(routers.keys() & polled.keys())


def find_lags(
    agents: Statuses, routers: Statuses, version: int
) -> tuple[Lag, ...]:
    """
    Return all routers and agents on which a version is not in force.

    Polled processes that failed to respond are included, with the reason.

    :param agents: the status of each polled agent, or a `Failure`, by address.
    :param routers: the same for the routers that were polled themselves.
    """
    lags = [
        *_process_lags('agent', agents, version),
        *_process_lags('router', routers, None),
    ]
    versions: dict[str, int] = {}
    live: set[str] = set()
    for status in _responses(agents):
        versions.update(status.get('routers', {}))
        live |= _live_names(status.get('peers', {}))
    for status in _responses(routers):
        versions[status['host']] = status['version']
    for name in sorted(live | versions.keys()):
        if versions.get(name, -1) < version:
            lags.append(Lag(f'router {name}', versions.get(name)))
    return tuple(lags)


def _process_lags(
    kind: str, statuses: Statuses, version: int | None
) -> Iterable[Lag]:
    """
    Yield the processes that did not respond or have an older version.
    """
    for address, status in statuses.items():
        name = f'{kind} {address}'
        if isinstance(status, Failure):
            yield Lag(name, None, status.reason)
        elif version is not None and status['version'] < version:
            yield Lag(name, status['version'])


def _lagging(statuses: Statuses, version: int) -> Statuses:
    return {
        address: status
        for address, status in statuses.items()
        if isinstance(status, Failure) or _lowest_version(status) < version
    }


def _lowest_version(status: Mapping[str, Any]) -> int:
    return min((status['version'], *status.get('routers', {}).values()))


def _responses(statuses: Statuses) -> Iterable[Mapping[str, Any]]:
    return (
        status
        for status in statuses.values()
        if not isinstance(status, Failure)
    )


def _live_names(peers: Mapping[str, Any]) -> set[str]:
    return {name for name, peer in peers.items() if not peer['leaving']}
