"""
Measures the messages and processor time of permits for targets with limits.

Run `python -m scripts.measure_permits`; it takes some seconds.
"""

import time
from collections.abc import Callable
from functools import partial
from itertools import count
from types import SimpleNamespace
from unittest.mock import Mock

from mallowcrank.gateway.assignment import HostAssignment
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import (
    GatewayStatus,
    pack_status,
    read_status,
)
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.permit_messages import (
    PermitAnswer,
    PermitRequest,
    Verdict,
    pack_permit_answer,
    pack_permit_request,
)
from mallowcrank.gateway.permits import SETTLE_S, Permits
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.named import LimitObservation, LimitReport

SIZES = (8, 84, 380)
LIMITS = (0, 1, 16)
REPEATS = 1000
REPORT = LimitReport(2.4, 0.5, 0.3, 'edge-rimouski-1')
MICROSECONDS = 1_000_000
PORT = 7340


def status_of(number: int, limits: int) -> GatewayStatus:
    """
    Return a gateway's status.

    :param limits: number of targets that name limits.
    """
    address = Address(f'10.{number // 250}.0.{number % 250 + 1}', PORT)
    return GatewayStatus(
        host=f'edge-rimouski-{number}',
        incarnation='4627d4da',
        zone='rimouski',
        front=address,
        gossip=address,
        peers=address,
        accepts_callers=True,
        desired_version=7,
        leader_generation=0,
        reserved={},
        limits={
            Lifetime(f'i-{each:010x}', 1_777_431_187_447): REPORT
            for each in range(limits)
        },
    )


def processor_us(job: Callable[[], object]) -> float:
    """
    Return the processor time of a job, in microseconds.
    """
    started_s = time.process_time()
    for _ in range(REPEATS):
        job()
    return (time.process_time() - started_s) / REPEATS * MICROSECONDS


def measure_statuses() -> None:
    """
    Print the size of a status, and the time to encode and decode it.
    """
    for limits in LIMITS:
        status = status_of(0, limits)
        raw = pack_status(status)
        encoding_us = processor_us(partial(pack_status, status))
        decoding_us = processor_us(partial(read_status, raw))
        print(
            f'status with {limits} limits: {len(raw)} bytes,',
            f'{encoding_us:.0f} us to encode, {decoding_us:.0f} us to decode',
        )


def measure_permits(size: int) -> None:
    """
    Print the time that the gateway which issues permits takes for one.

    :param size: number of gateways.
    """
    settings = SimpleNamespace(
        gossip=Address('10.99.0.1', PORT), host='edge-issuer'
    )
    peers = Peers(settings, Mock())
    permits = Permits(settings, peers, Mock(), Meters())
    peers.listen(lambda: status_of(0, 0), lambda status: None)
    time.sleep(SETTLE_S)
    for number in range(size - 1):
        peers.datagram_received(
            pack_status(status_of(number, 0)), ('10.0.0.1', PORT)
        )
    permits.update(is_accepting=True)
    now = monotonic_s()
    lifetime = target_of(settings.host, size)
    permits.limits.apply(lifetime, LimitObservation(2.4, now, now, 'edge'))
    raw = pack_permit_request(PermitRequest(1, lifetime, REPORT, 0.1))
    sender = Address('10.0.0.1', PORT)
    answer_us = processor_us(lambda: permits.handle_datagram(raw, sender))
    update_us = processor_us(lambda: permits.update(is_accepting=True))
    print(
        f'{size} gateways: {answer_us:.0f} us to answer a request,',
        f'{update_us:.0f} us each 0.5 s for one limit',
    )


def target_of(host: str, size: int) -> Lifetime:
    """
    Return a target whose permits a host issues.

    :param size: number of gateways.
    """
    assignment = HostAssignment()
    others = (status_of(number, 0).host for number in range(size - 1))
    assignment.update_hosts((host, *others))
    identities = (f'i-{number:010x}' for number in count())
    return Lifetime(
        next(each for each in identities if assignment.host_for(each) == host),
        0,
    )


def main() -> None:
    """
    Print all figures.
    """
    request = PermitRequest(1, Lifetime('i-44c367bc89', 0), REPORT, 0.1)
    answer = PermitAnswer(1, Verdict.DENIED, 0.4, 3)
    print(f'request for a permit: {len(pack_permit_request(request))} bytes')
    print(f'answer: {len(pack_permit_answer(answer))} bytes')
    measure_statuses()
    for size in SIZES:
        measure_permits(size)


if __name__ == '__main__':
    main()
