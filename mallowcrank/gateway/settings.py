"""
A gateway's settings: its host, its addresses and the operator's bounds.
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
    The addresses on which a gateway listens.

    :param front: for callers' requests.
    :param ready: for readiness checks.
    :param peers: for other gateways, over TCP.
    :param directory: for callers that look up frontend addresses.
    """

    front: Address
    ready: Address
    peers: Address
    directory: Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """
    Times and retry budget that the operator of the host guarantees.

    :param grace_s: seconds from SIGTERM to SIGKILL.
    :param drain_s: seconds for which a leaving target may still get work.
    :param config_s: seconds after which a confirmed change is in force.
    :param max_directory_ttl_s: longest time for which callers cache an answer
        of the directory, in seconds.
    :param retry_ratio: retries allowed per request, over all gateways.
    :param retry_window_s: length of the window in which retries are counted,
        in seconds.
    :param retry_slack: retries allowed in a window on top of the ratio.
    """

    grace_s: float
    drain_s: float
    config_s: float
    max_directory_ttl_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    One gateway's settings.

    :param regions: region by availability zone.
    :param internal_ports: first and last port for traffic between gateways.
    :param seeds: addresses of gateways through which others are discovered.
    :param store: address of the platform's store.
    :param min_lease_s: shortest lease that the store grants, in seconds.
    :param is_first_start: whether the whole system starts for the first time.
    :param memory_bytes: that a process may use; 0 if that isn't known.
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
    is_first_start: bool
    memory_bytes: int = 0

    @property
    def gossip(self) -> Address:
        """
        Return the address for datagrams between gateways: the first internal
        port.
        """
        return Address(self.listening.front.ip, self.internal_ports[0])

    @property
    def metrics(self) -> Address:
        """
        Return the address on which metrics are served: the second internal
        port.
        """
        return Address(self.listening.front.ip, self.internal_ports[0] + 1)
