"""
Reads the platform's settings file: lines of the form `a.b=value`.
"""

from collections.abc import Callable, Mapping
from typing import Any

from mallowcrank.findings import Finding
from mallowcrank.gateway.addresses import parse_address, parse_port
from mallowcrank.gateway.settings import (
    Address,
    Bounds,
    GatewaySettings,
    ListenAddresses,
)

MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
ZONE_PREFIX = 'zones.'


def read_settings(text: str) -> GatewaySettings | list[Finding]:
    """
    Parse the text of a settings file.

    :returns: all findings if there are any, else the settings.
    """
    reader = _FieldReader(_parse_lines(text))
    settings = GatewaySettings(
        host=reader.read('node_name', str),
        zone=reader.read('zone', str),
        region=reader.read('region', str),
        regions=reader.regions(),
        listening=ListenAddresses(
            front=reader.read('listen.front', parse_address),
            ready=reader.read('listen.ready', parse_address),
            peers=reader.read('listen.control', parse_address),
            directory=reader.read('listen.directory', parse_address),
        ),
        internal_ports=reader.read('internal_ports', _parse_ports),
        seeds=reader.read('seeds', _parse_addresses, ''),
        store=reader.read('platform.address', parse_address),
        min_lease_s=reader.read('platform.ttl_min_ms', _parse_ms_as_s, '1000'),
        bounds=Bounds(
            grace_s=reader.read('bounds.grace_s', float),
            drain_s=reader.read('bounds.drain_ms', _parse_ms_as_s),
            config_s=reader.read('bounds.config_ms', _parse_ms_as_s, '2000'),
            max_directory_ttl_s=reader.read('bounds.ttl_max_s', float),
            retry_ratio=reader.read('bounds.retry_budget_ratio', float),
            retry_window_s=reader.read('bounds.budget_window_s', float),
            retry_slack=reader.read('bounds.retry_budget_slack', float),
        ),
        is_first_start=reader.read('bootstrap', _parse_flag, 'false'),
        memory_bytes=reader.read('limits.memory_mb', _parse_mb, '0'),
    )
    return reader.findings or settings


class _FieldReader:
    """
    Converts fields one by one and collects a finding for each bad one.
    """

    def __init__(self, fields: Mapping[str, str]) -> None:
        self._fields = fields
        self.findings: list[Finding] = []

    def read(
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
            name[len(ZONE_PREFIX) :]: region
            for name, region in self._fields.items()
            if name.startswith(ZONE_PREFIX)
        }


def _parse_lines(text: str) -> Mapping[str, str]:
    pairs = (line.partition('=') for line in text.splitlines())
    return {
        name.strip(): value.strip()
        for name, equals, value in pairs
        if equals and name.strip()
    }


def _parse_ms_as_s(text: str) -> float:
    return float(text) / MS_PER_S


def _parse_mb(text: str) -> int:
    return int(float(text) * BYTES_PER_MB)


def _parse_flag(text: str) -> bool:
    if text not in {'true', 'false'}:
        raise ValueError(f'{text!r} is neither true nor false')
    return text == 'true'


def _parse_ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(',')
    return parse_port(first), parse_port(last)


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(each) for each in text.split(',') if each)
