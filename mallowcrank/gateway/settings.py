"""
What a gateway knows of its host and of its bounds when it starts.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """
    An IP address and a port.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True, slots=True)
class ListenAddresses:
    """
    The addresses that a gateway serves.

    :param front: callers' requests.
    :param ready: readiness.
    :param peers: other gateways, over TCP.
    :param directory: callers that ask which front to use.
    """

    front: Address
    ready: Address
    peers: Address
    directory: Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """
    Times and shares that the operator of the host promises to callers.

    :param grace_s: from SIGTERM to SIGKILL.
    :param drain_s: a leaving target may get work for so long.
    :param max_directory_ttl_s: callers keep a directory's answer no longer.
    :param retry_ratio: retries for each request, over all gateways.
    :param retry_window_s: the window in which retries are counted.
    :param retry_slack: retries that are free in a window.
    """

    grace_s: float
    drain_s: float
    max_directory_ttl_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    One gateway's settings.

    :param regions: the region of each availability zone.
    :param internal_ports: first and last port for traffic between gateways.
    :param seeds: gateways that may know others.
    :param store: the address of the platform's store.
    :param min_lease_s: the shortest lease that the store grants.
    """

    host: str
    zone: str
    region: str
    regions: Mapping[str, str]
    listening: ListenAddresses
    internal_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    store: Address
    min_lease_s: float
    bounds: Bounds

    @property
    def gossip(self) -> Address:
        """
        Return the address for datagrams between gateways.
        """
        return Address(self.listening.front.ip, self.internal_ports[0])

    @property
    def metrics(self) -> Address:
        """
        Return the address on which metrics are served.
        """
        return Address(self.listening.front.ip, self.internal_ports[0] + 1)
