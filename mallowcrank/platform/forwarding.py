"""
Headers of requests that a gateway forwards to replicas and other gateways.
"""

from collections.abc import Sequence

from mallowcrank.gateway.ports import ForwardFields, Headers, Hop

DEADLINE = b'mallowcrank-deadline-ms'
LAST_EVENT = b'last-event-id'
API_KEY = b'x-api-key'
SET_BY_GATEWAY = frozenset(
    (
        DEADLINE,
        API_KEY,
        b'mallowcrank-tenant',
        b'mallowcrank-expect-instance',
        b'mallowcrank-expect-version',
        b'mallowcrank-hop-count',
        b'mallowcrank-request-priority',
    )
)


def instance_headers(identity: str) -> Headers:
    """
    Return the headers that make any other replica at the address refuse.
    """
    return ((b'Mallowcrank-Expect-Instance', identity.encode()),)


def format_path(hops: Sequence[Hop]) -> str:
    """
    Return a path in the platform's header format.
    """
    return ','.join(f'{hop.address}={hop.first}-{hop.end}' for hop in hops)


def target_headers(headers: Headers, sending: ForwardFields) -> Headers:
    """
    Return the headers of a request to a replica.

    :param headers: the caller's, without connection-specific headers.
    """
    kept = list(
        proxy_headers(headers, sending.remaining_ms, sending.last_event)
    )
    kept.extend(instance_headers(sending.target))
    if sending.workspace:
        kept.append((b'Mallowcrank-Tenant', sending.workspace.encode()))
    if sending.hops:
        kept.append(
            (b'Mallowcrank-Hop-Count', format_path(sending.hops).encode())
        )
    return tuple(kept)


def proxy_headers(
    headers: Headers, remaining_ms: int, last_event: str
) -> Headers:
    """
    Return the headers of a request to another gateway.

    :param headers: the caller's, without connection-specific headers.
    :param remaining_ms: milliseconds until the caller's deadline.
    :param last_event: id of the event after which a stream resumes; empty if
        it begins where the caller asked for it.
    """
    excluded = set(SET_BY_GATEWAY)
    if last_event:
        excluded.add(LAST_EVENT)
    kept = [pair for pair in headers if pair[0].lower() not in excluded]
    kept.append((b'Mallowcrank-Deadline-Ms', b'%d' % remaining_ms))
    if last_event:
        kept.append((b'Last-Event-Id', last_event.encode()))
    return tuple(kept)
