"""
The platform's settings file: lines of the form `a.b=value`.
"""

from collections.abc import Callable, Mapping
from typing import Any

from mallowcrank.findings import Finding
from mallowcrank.gateway.settings import (
    Address,
    Bounds,
    GatewaySettings,
    ListenAddresses,
)

MILLISECONDS = 1000
ZONES = 'zones.'


def read_settings(text: str) -> GatewaySettings | list[Finding]:
    """
    Read a settings file.

    :returns: all that is wrong with it, where something is.
    """
    reader = _Reader(_fields(text))
    settings = GatewaySettings(
        host=reader.take('node_name', str),
        zone=reader.take('zone', str),
        region=reader.take('region', str),
        regions=reader.regions(),
        listening=ListenAddresses(
            front=reader.take('listen.front', read_address),
            ready=reader.take('listen.ready', read_address),
            peers=reader.take('listen.control', read_address),
            directory=reader.take('listen.directory', read_address),
        ),
        internal_ports=reader.take('internal_ports', _ports),
        seeds=reader.take('seeds', _addresses, ''),
        store=reader.take('platform.address', read_address),
        min_lease_s=reader.take('platform.ttl_min_ms', _seconds, '1000'),
        bounds=Bounds(
            grace_s=reader.take('bounds.grace_s', float),
            drain_s=reader.take('bounds.drain_ms', _seconds),
            max_directory_ttl_s=reader.take('bounds.ttl_max_s', float),
            retry_ratio=reader.take('bounds.retry_budget_ratio', float),
            retry_window_s=reader.take('bounds.budget_window_s', float),
            retry_slack=reader.take('bounds.retry_budget_slack', float),
        ),
    )
    return reader.findings or settings


def read_address(text: str) -> Address:
    """
    Read `IP:PORT`.

    :raises ValueError: for anything else.
    """
    ip, colon, port = text.rpartition(':')
    if not colon or not ip:
        raise ValueError(f'{text!r} is not IP:PORT')
    return Address(ip, int(port))


class _Reader:
    """
    Takes fields one by one and collects what is wrong.
    """

    def __init__(self, fields: Mapping[str, str]) -> None:
        self._fields = fields
        self.findings: list[Finding] = []

    def take(
        self,
        name: str,
        convert: Callable[[str], Any],
        default: str | None = None,
    ) -> Any:
        raw = self._fields.get(name, default)
        if raw is None:
            self.findings.append(Finding(name, 'is missing'))
            return None
        try:
            return convert(raw)
        except ValueError as error:
            self.findings.append(Finding(name, str(error)))
            return None

    def regions(self) -> Mapping[str, str]:
        return {
            name[len(ZONES) :]: region
            for name, region in self._fields.items()
            if name.startswith(ZONES)
        }


def _fields(text: str) -> Mapping[str, str]:
    pairs = (line.partition('=') for line in text.splitlines())
    return {
        name.strip(): given.strip()
        for name, equals, given in pairs
        if equals and name.strip()
    }


def _seconds(text: str) -> float:
    return float(text) / MILLISECONDS


def _ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(',')
    return int(first), int(last)


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(read_address(each) for each in text.split(',') if each)
