"""
The choice of the frontend addresses that a caller should use.
"""

from collections.abc import Mapping, Sequence

from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.settings import Address

MIN_FRONTS = 2  # returned to a caller, if there are as many
MAX_FRONTS = 64  # that a caller accepts
ANSWER_TTL_S = 0.5  # some callers cache answers three times as long


def fronts_for(
    zone: str, regions: Mapping[str, str], gateways: Sequence[GatewayStatus]
) -> list[Address]:
    """
    Return the frontend addresses for a caller.

    They are those of its availability zone, or of its region, or all: the
    nearest group that has enough of them. Gateways that are cut off from the
    targets are left out, unless too few others are there.

    :param regions: region by availability zone.
    :param gateways: the gateways that accept callers.
    """
    reaching = [gateway for gateway in gateways if not gateway.is_cut_off]
    if len(reaching) >= MIN_FRONTS:
        gateways = reaching
    zonal = [gateway.front for gateway in gateways if gateway.zone == zone]
    if len(zonal) >= MIN_FRONTS:
        return zonal[:MAX_FRONTS]
    region = regions.get(zone)
    regional = [
        gateway.front
        for gateway in gateways
        if regions.get(gateway.zone) == region
    ]
    if len(regional) >= MIN_FRONTS:
        return regional[:MAX_FRONTS]
    return [gateway.front for gateway in gateways][:MAX_FRONTS]
