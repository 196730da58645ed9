"""
Process settings, fully validated before anything starts.
"""

import ipaddress
from dataclasses import dataclass

from mallowcrank.findings import Finding
from mallowcrank.wire import KeyRing

MAX_PORT = 65535


class Checker:
    """
    Parses the texts of flags and collects the problems as findings.

    A method that finds a problem still returns a value, so that all problems
    are reported together.
    """

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    @property
    def findings(self) -> tuple[Finding, ...]:
        """
        Return the findings so far.
        """
        return tuple(self._findings)

    def report(self, place: str, problem: str, advice: str) -> None:
        """
        Add a finding.
        """
        self._findings.append(Finding(place, problem, advice))

    def number(self, place: str, raw: str, low: float, high: float) -> float:
        """
        Parse a number between two inclusive bounds.
        """
        try:
            parsed = float(raw)
        except ValueError:
            self.report(place, f'{raw!r} is not a number', 'give a number')
            return low
        if not low <= parsed <= high:
            self.report(
                place,
                f'{raw} is out of range',
                f'give a number from {low:g} to {high:g}',
            )
        return parsed

    def name(self, place: str, raw: str) -> str:
        """
        Check a name: letters, digits, dots, underscores and dashes.
        """
        if (
            not raw
            or not raw.replace('-', '')
            .replace('_', '')
            .replace('.', '')
            .isalnum()
        ):
            self.report(
                place,
                f'{raw!r} is not a name',
                'use letters, digits, dots, underscores and dashes',
            )
        return raw

    def address(self, place: str, raw: str, *, optional: bool = False) -> str:
        """
        Check an address `IP:PORT`.

        :param optional: whether an empty text is valid.
        """
        if optional and not raw:
            return raw
        host, _, port = raw.rpartition(':')
        if not _is_ip(host) or not _is_port(port):
            self.report(
                place,
                f'{raw!r} is not an address',
                'give IP:PORT, such as 127.0.0.1:8080',
            )
        return raw

    def addresses(self, place: str, raw: str) -> tuple[str, ...]:
        """
        Parse addresses separated by commas; an empty text gives none.
        """
        parts = [part.strip() for part in raw.split(',') if part.strip()]
        return tuple(self.address(place, part) for part in parts)

    def keys(self, place: str, raw: str) -> KeyRing:
        """
        Parse peer keys: `NUMBER:HEX[,NUMBER:HEX]`, the signing key first.
        """
        if not raw:
            return KeyRing()
        keys: dict[int, bytes] = {}
        for part in raw.split(','):
            number, _, secret = part.partition(':')
            try:
                keys[int(number)] = bytes.fromhex(secret)
            except ValueError:
                self.report(
                    place,
                    f'key {number!r} is malformed',
                    'give NUMBER:HEX, such as 1:8f0c51aa',
                )
        if not keys:
            return KeyRing()
        return KeyRing(current=next(iter(keys)), keys=keys)


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text.strip('[]'))
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    return text.isdigit() and int(text) <= MAX_PORT


@dataclass(frozen=True)
class HostSettings:
    """
    The settings of the host, common to all daemons.

    :param host: the host's name.
    :param availability_zone: the host's availability zone.
    :param statsd: `IP:PORT` of statsd, or an empty string for no metrics.
    """

    host: str
    availability_zone: str
    statsd: str = ''


@dataclass(frozen=True)
class RouterSettings:
    """
    The router's settings.

    :param host_settings: the settings of its host.
    :param listen: `IP:PORT` for callers.
    :param admin: `IP:PORT` for operators.
    :param feed: `IP:PORT` of the agent's feed on this host.
    :param keys: the peers' shared keys.
    :param keep_s: seconds that callers cache an answer of `/v1/addresses`.
    :param drain_limit_s: seconds until a graceful stop is forced.
    :param threads: the maximum of concurrent requests.
    """

    host_settings: HostSettings
    listen: str
    admin: str
    feed: str
    keys: KeyRing
    keep_s: float = 5
    drain_limit_s: float = 60
    threads: int = 128


@dataclass(frozen=True)
class AgentSettings:
    """
    The agent's settings.

    :param host_settings: the settings of its host.
    :param listen: `IP:PORT` for other agents.
    :param admin: `IP:PORT` for operators.
    :param feed: `IP:PORT` of the feed for this host's routers.
    :param log: `IP:PORT` of the platform's log service.
    :param host_list: `IP:PORT` of the platform's host list.
    :param peers: addresses of agents to contact first.
    :param keys: the peers' shared keys.
    :param weights: `IP:PORT` of the weight store, or an empty string.
    :param lease_s: duration of a lease for orders, in seconds; must be the
        same on all agents.
    """

    host_settings: HostSettings
    listen: str
    admin: str
    feed: str
    log: str
    host_list: str
    peers: tuple[str, ...]
    keys: KeyRing
    weights: str = ''
    lease_s: float = 30
