"""
Which paths may cross the link between availability zones.

Answers the load of a site in which no zone covers the model, or has memory for
all requests: activations of a whole prompt cross the link at each hop between
zones, all requests share it, and transfers follow each other. Beyond its
capacity nothing on it is in time: callers leave and ask again, and the prompts
that they left behind are still being transferred. So only as many requests
cross as the link carries; the others are refused while there is time to return.

The gateways share the link without asking each other: each uses its even share,
at random. Little of an unused share is kept, since all of them would use it in
the moment in which a zone fails.
"""

from collections.abc import Mapping
from math import inf
from random import Random

from mallowcrank.chains.engines import BYTES_PER_MB, RequestTokens
from mallowcrank.gateway.desired import EngineRule

BITS_PER_BYTE = 8
LINK_SHARE = 0.6  # of its capacity; the rest absorbs bursts and long prompts
MAX_UNUSED_S = 1.5  # of a link's time, that all gateways may save up together
ZonePair = tuple[str, str]


def crossing_seconds(rule: EngineRule, tokens: RequestTokens) -> float:
    """
    Return how long one request occupies the link for each hop between zones.

    :returns: seconds; 0 if the capacity of the link isn't known.
    """
    if not rule.pipe_mbps:
        return 0
    transferred = tokens.total * rule.hop_bytes
    return transferred * BITS_PER_BYTE / BYTES_PER_MB / rule.pipe_mbps


class LinkShares:
    """
    One gateway's shares of the links.

    A request crosses with the probability that keeps the gateway at its share
    of the time since it last asked, whether or not that request crossed.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._asked_at: dict[ZonePair, float] = {}

    def find_busy(
        self, crossings: Mapping[ZonePair, float], gateways: int, now: float
    ) -> list[ZonePair]:
        """
        Decide whether a request may cross.

        :param crossings: seconds for which it occupies each link that it uses.
        :param gateways: that share the links.
        :param now: steady time, in seconds.
        :returns: the links that have no room for it; it may cross if there are
            none.
        """
        drawn = self._random.random()
        return [
            link
            for link, seconds in crossings.items()
            if drawn >= self._claim(link, seconds, gateways, now)
        ]

    def _claim(
        self, link: ZonePair, seconds: float, gateways: int, now: float
    ) -> float:
        """
        Use up the share of a link since the last question.

        :returns: the share of the request that it allows.
        """
        if seconds <= 0:
            return 1
        unused_s = (now - self._asked_at.get(link, -inf)) * LINK_SHARE
        self._asked_at[link] = now
        return min(unused_s, MAX_UNUSED_S) / gateways / seconds
