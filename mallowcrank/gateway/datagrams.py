"""
Datagrams between gateways: the status of one, or the addresses of several.

Each datagram is complete, so that a lost one does no harm.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from ipaddress import IPv4Address
from math import isfinite
from typing import Any, TypeVar

import msgpack

from mallowcrank.gateway.addresses import checked_port
from mallowcrank.gateway.desired_status import (
    DesiredMark,
    DesiredStatus,
    decode_desired,
    encode_desired,
)
from mallowcrank.gateway.entries_status import (
    EntriesStatus,
    EntriesView,
    decode_entries,
    decode_view,
    encode_entries,
    encode_view,
)
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.status_parts import (
    SuspectsReport,
    decode_suspects,
    encode_suspects,
)
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.limits.named import LimitReport

STATUS_FORMAT = 1
ADDRESSES_FORMAT = 2
MAX_KNOWN_ADDRESSES = 4096  # whose checks aren't repeated
MS_PER_S = 1000
Decoded = TypeVar('Decoded')
DECODE_ERRORS = (
    ValueError,
    TypeError,
    IndexError,
    AttributeError,
    OverflowError,
)


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """
    The status that one gateway sends to the others.

    :param incarnation: random id of the process.
    :param front: where callers connect.
    :param gossip: where it receives datagrams.
    :param peers: where it answers other gateways over TCP.
    :param accepts_callers: whether the directory may list it.
    :param desired_version: its newest version of the desired state.
    :param leader_generation: the generation in which it leads, or 0.
    :param reserved: tokens x layers by engine.
    :param unresponsive_targets: identities of targets that don't answer it.
    :param paces: factors on the usual times of slow targets, by identity.
    :param layers: layers that targets reported and that their entries may
        not show yet, by identity.
    :param limits: what targets said of their limits; none if the gateway is
        of an earlier build, which knows no limits.
    :param entries: its view of the targets' entries; none if it has none, or
        is of an earlier build.
    :param is_cut_off: whether it reaches next to no target, while others do.
    :param leaving: targets that have said in answers that they leave.
    :param desired: how sure it is of its version of the desired state; none if
        it has none, or is of an earlier build.
    :param view: what it has read of the targets' entries; none if it has read
        nothing lately, or is of an earlier build.
    :param suspects: requests that may crash targets; none if there are none.
    """

    host: str
    incarnation: str
    zone: str
    front: Address
    gossip: Address
    peers: Address
    accepts_callers: bool
    desired_version: int
    leader_generation: int
    reserved: Mapping[str, float]
    unresponsive_targets: tuple[str, ...] = ()
    paces: Mapping[str, float] = field(default_factory=dict)
    layers: Mapping[str, HeldLayers] = field(default_factory=dict)
    limits: Mapping[Lifetime, LimitReport] | None = None
    entries: EntriesStatus | None = None
    suspects: SuspectsReport | None = None
    is_cut_off: bool = False
    leaving: tuple[Lifetime, ...] = ()
    desired: DesiredStatus | None = None
    view: EntriesView | None = None

    @property
    def desired_mark(self) -> DesiredMark:
        """
        Return which content of the desired state it has.
        """
        era = self.desired.era if self.desired else -1
        return DesiredMark(self.desired_version, era)


def pack_status(status: GatewayStatus) -> bytes:
    """
    Encode a status as a datagram.
    """
    return msgpack.packb(
        [
            STATUS_FORMAT,
            status.host,
            status.incarnation,
            status.zone,
            status.front.ip,
            [status.front.port, status.gossip.port, status.peers.port],
            status.accepts_callers,
            status.desired_version,
            status.leader_generation,
            {name: int(used) for name, used in status.reserved.items()},
            list(status.unresponsive_targets),
            dict(status.paces),
            {
                name: [held.first, held.end, held.version]
                for name, held in status.layers.items()
            },
            *_encode_optional(status),
        ]
    )


def read_status(raw: bytes) -> GatewayStatus | None:
    """
    Decode a datagram.

    :returns: the status, or None if the datagram is malformed or of another
        format version.
    """
    try:
        return _decode(msgpack.unpackb(raw))
    except DECODE_ERRORS:
        return None


def encode_limit(limit: LimitReport) -> list[Any]:
    """
    Encode a report of a limit as a part of a datagram.
    """
    return [
        limit.rate_per_s,
        round(limit.sent_ago_s * MS_PER_S),
        round(limit.received_ago_s * MS_PER_S),
        limit.source,
    ]


def decode_limit(fields: Sequence[Any]) -> LimitReport:
    """
    Decode a report of a limit.

    :raises ValueError: if the rate or an age is negative or not a number.
    """
    rate, sent_ago_ms, received_ago_ms, source = fields
    if rate is not None and not (isfinite(rate) and rate >= 0):
        raise ValueError('no rate')
    if min(sent_ago_ms, received_ago_ms) < 0:
        raise ValueError('no age')
    return LimitReport(
        rate_per_s=None if rate is None else float(rate),
        sent_ago_s=int(sent_ago_ms) / MS_PER_S,
        received_ago_s=int(received_ago_ms) / MS_PER_S,
        source=str(source),
    )


def pack_addresses(addresses: Iterable[Address]) -> bytes:
    """
    Encode addresses at which gateways receive datagrams.
    """
    return msgpack.packb(
        [ADDRESSES_FORMAT, [[each.ip, each.port] for each in addresses]]
    )


def read_addresses(raw: bytes) -> tuple[Address, ...]:
    """
    Decode a datagram of addresses.

    :returns: the addresses; none if the datagram is malformed or of another
        kind.
    """
    try:
        kind, addresses = msgpack.unpackb(raw)
        if kind != ADDRESSES_FORMAT:
            return ()
        return tuple(_decode_address(ip, port) for ip, port in addresses)
    except DECODE_ERRORS:
        return ()


def _decode(fields: list[Any]) -> GatewayStatus | None:
    if fields[0] != STATUS_FORMAT:
        return None
    reported_layers = fields[12].items()
    front, gossip, peers = (
        _decode_address(fields[4], port) for port in fields[5]
    )
    return GatewayStatus(
        host=str(fields[1]),
        incarnation=str(fields[2]),
        zone=str(fields[3]),
        front=front,
        gossip=gossip,
        peers=peers,
        accepts_callers=bool(fields[6]),
        desired_version=int(fields[7]),
        leader_generation=int(fields[8]),
        reserved={str(key): float(used) for key, used in fields[9].items()},
        unresponsive_targets=tuple(str(each) for each in fields[10]),
        layers={str(key): HeldLayers(*held) for key, held in reported_layers},
        paces={str(key): float(pace) for key, pace in fields[11].items()},
        limits=_decode_optional(fields, 13, _decode_limits),
        entries=_decode_optional(fields, 14, decode_entries),
        suspects=_decode_optional(fields, 16, decode_suspects),
        is_cut_off=bool(_decode_optional(fields, 17, bool)),
        leaving=_decode_optional(fields, 18, _decode_lifetimes) or (),
        desired=_decode_optional(fields, 19, decode_desired),
        view=_decode_optional(fields, 20, decode_view),
    )


def _encode_optional(status: GatewayStatus) -> list[Any]:
    """
    Encode the fields that builds have added at the end; unset ones are none,
    and left out at the end.
    """
    encoded = [
        None if status.limits is None else _encode_limits(status.limits),
        status.entries and encode_entries(status.entries),
        None,  # in use by an earlier build
        status.suspects and encode_suspects(status.suspects),
        status.is_cut_off or None,
        [list(lifetime) for lifetime in status.leaving] or None,
        status.desired and encode_desired(status.desired),
        status.view and encode_view(status.view),
    ]
    while encoded and encoded[-1] is None:
        encoded.pop()
    return encoded


def _decode_optional(
    fields: Sequence[Any], index: int, decode: Callable[[Any], Decoded]
) -> Decoded | None:
    raw = fields[index] if len(fields) > index else None
    return None if raw is None else decode(raw)


def _encode_limits(limits: Mapping[Lifetime, LimitReport]) -> list[Any]:
    return [
        [*lifetime, *encode_limit(limit)] for lifetime, limit in limits.items()
    ]


def _decode_limits(rows: list[Any]) -> dict[Lifetime, LimitReport]:
    return {
        Lifetime(str(row[0]), int(row[1])): decode_limit(row[2:])
        for row in rows
    }


def _decode_lifetimes(rows: list[Any]) -> tuple[Lifetime, ...]:
    return tuple(
        Lifetime(str(identity), int(born_ms)) for identity, born_ms in rows
    )


@lru_cache(MAX_KNOWN_ADDRESSES)
def _decode_address(ip: Any, port: Any) -> Address:
    return Address(str(IPv4Address(str(ip))), checked_port(int(port)))
