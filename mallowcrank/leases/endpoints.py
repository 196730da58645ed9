"""
The admin endpoints for leases and orders.
"""

import uuid
from collections.abc import Mapping
from typing import Any

from mallowcrank import codec
from mallowcrank.findings import Finding
from mallowcrank.leases.fold import LeaseTable
from mallowcrank.leases.orders import Action, Order
from mallowcrank.leases.part import OrdersPart
from mallowcrank.refusals import Ran
from mallowcrank.view import Target, TargetKind, TargetState
from mallowcrank.web import Request, Response, Routes, json_response

BAD_REQUEST = 400
GONE = 410
UNAVAILABLE = 503
MAX_ORDER_AGE_S = 8  # operators wait 5 s, and clocks differ by up to 3 s


class LeaseEndpoints:
    """
    Handles `/admin/leases` and `/admin/orders`.
    """

    def __init__(self, part: OrdersPart) -> None:
        self._part = part

    def add_to(self, routes: Routes) -> None:
        """
        Add the endpoints.
        """
        routes.add('GET', '/admin/leases', self.get_leases)
        routes.add('POST', '/admin/orders', self.post_order)

    def get_leases(self, _request: Request) -> Response:
        """
        Handle `GET /admin/leases`.
        """
        status = self._part.actor.status().get()
        return json_response(
            {
                'log_is_out': status.is_log_unavailable,
                'leases': leases_to_plain(status.table),
                'orders': codec.to_plain(status.jobs),
            }
        )

    def post_order(self, request: Request) -> Response:
        """
        Handle `POST /admin/orders`.
        """
        try:
            body = dict(request.json())
        except (TypeError, ValueError):
            return _error_response('the body is not a JSON object', BAD_REQUEST)
        if is_stale(body, self._part.clock.now()):
            return _error_response('expired: it was asked too long ago', GONE)
        findings = check_order(body, self._part.targets())
        if findings:
            text = '; '.join(map(str, findings))
            return _error_response(text, BAD_REQUEST)
        actor = self._part.actor
        if actor.status().get().is_log_unavailable:
            return _error_response(
                'the log is out; no order is taken', UNAVAILABLE
            )
        order = codec.from_plain(body, Order)
        job = actor.submit(f'order-{uuid.uuid4().hex[:12]}', order).get()
        return json_response({'order': job.id, 'stage': str(job.stage)})


def leases_to_plain(table: LeaseTable) -> dict[str, Any]:
    """
    Return the leases by group, as plain values for JSON.
    """
    return {
        group: {
            'holder': lease.holder,
            'fence': lease.fence,
            'until': lease.until,
            'released': lease.released,
        }
        for group, lease in sorted(table.leases.items())
    }


def is_stale(body: Mapping[str, Any], now: float) -> bool:
    """
    Tell whether an order was delayed, as when the agent was paused.

    :param body: the order; `asked` holds when it was sent, in seconds since
        the epoch. An order without it counts as new.
    :param now: seconds since the epoch.
    """
    asked = body.get('asked', now)
    return not isinstance(asked, int | float) or (
        abs(now - asked) > MAX_ORDER_AGE_S
    )


def check_order(
    body: Mapping[str, Any], targets: Mapping[str, Target]
) -> tuple[Finding, ...]:
    """
    Return all problems of an order.

    :param body: the order as an operator sent it.
    :param targets: the known targets by name.
    """
    findings = []
    target = targets.get(str(body.get('target')))
    if target is None or target.kind != TargetKind.ENGINE:
        findings.append(Finding('target', 'no such engine is known'))
    elif target.state == TargetState.GONE:
        findings.append(Finding('target', 'it is gone'))
    action = body.get('action')
    if action not in set(Action):
        known = ', '.join(Action)
        findings.append(Finding('action', f'{action!r} is not one of {known}'))
    findings.extend(_check_fields(body, action))
    return tuple(findings)


def _check_fields(body: Mapping[str, Any], action: Any) -> list[Finding]:
    findings = []
    if action == Action.ROLE and not body.get('role'):
        findings.append(Finding('role', 'it is missing'))
    if action == Action.ADAPTER and not body.get('version'):
        findings.append(Finding('version', 'it is missing'))
    if action == Action.LOAD:
        first, last = body.get('first_layer'), body.get('last_layer')
        if not body.get('serves'):
            findings.append(Finding('serves', 'it is missing'))
        if not _is_range(first, last):
            findings.append(Finding('layers', f'{first}-{last} is no range'))
    return findings


def _is_range(first: Any, last: Any) -> bool:
    return (
        isinstance(first, int) and isinstance(last, int) and 0 <= first <= last
    )


def _error_response(message: str, status: int) -> Response:
    return json_response({'error': {'message': message, 'ran': Ran.NO}}, status)
