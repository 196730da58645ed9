"""
What the streams of one service share at this gateway.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from mallowcrank.chains.event_pace import EventPace
from mallowcrank.chains.zone_link import LinkShares


def _link_shares() -> LinkShares:
    return LinkShares(Random())


@dataclass(frozen=True, slots=True)
class ServiceStreams:
    """
    What the streams of one service share.

    :param pace: of their events.
    :param link_shares: of the links between availability zones.
    """

    pace: EventPace = field(default_factory=EventPace)
    link_shares: LinkShares = field(default_factory=_link_shares)


class StreamServices:
    """
    What streams share, by service.
    """

    def __init__(self) -> None:
        self._services: defaultdict[str, ServiceStreams] = defaultdict(
            ServiceStreams
        )

    def find(self, service: str) -> ServiceStreams:
        """
        Return what the streams of a service share.
        """
        return self._services[service]
