"""
Waiting until a version of the settings is in force on all live routers.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from mallowcrank.operators.desk import Desk, get_admin
from mallowcrank.ports import Failure

POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class Lag:
    """
    A router or agent that does not have a version in force.

    :param version: what it has, or `None` where that is unknown.
    """

    name: str
    version: int | None
    reason: str = ''


def wait_in_force(desk: Desk, version: int, deadline: float) -> tuple[Lag, ...]:
    """
    Wait until each live router has a version in force.

    :param deadline: steady time in seconds at which to give up.
    :returns: those that don't have it; empty on success.
    """
    while True:
        lags = find_lags(desk, version)
        if not lags or desk.steady() >= deadline:
            return lags
        desk.sleep(POLL_S)


def find_lags(desk: Desk, version: int) -> tuple[Lag, ...]:
    """
    Return the live routers that do not have a version in force.
    """
    lags: list[Lag] = []
    known: dict[str, int] = {}
    live: set[str] = set()
    for agent in desk.settings.agents:
        status = get_admin(agent, '/admin/status')
        if isinstance(status, Failure):
            lags.append(Lag(f'agent {agent}', None, status.reason))
            continue
        if status['version'] < version:
            lags.append(Lag(f'agent {agent}', status['version']))
        known.update(status.get('routers', {}))
        live |= _live(status.get('peers', {}))
    known.update(_ask_routers(desk.settings.routers, lags))
    for name in sorted(live | known.keys()):
        if known.get(name, -1) < version:
            lags.append(Lag(f'router {name}', known.get(name)))
    return tuple(lags)


def _live(peers: dict[str, Any]) -> set[str]:
    return {name for name, peer in peers.items() if not peer['leaving']}


def _ask_routers(addresses: Iterable[str], lags: list[Lag]) -> dict[str, int]:
    known: dict[str, int] = {}
    for address in addresses:
        status = get_admin(address, '/admin/status')
        if isinstance(status, Failure):
            lags.append(Lag(f'router {address}', None, status.reason))
        else:
            known[status['host']] = status['version']
    return known
