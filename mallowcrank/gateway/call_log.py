"""
Log lines and counters of calls.
"""

from mallowcrank.gateway.call import Call
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.journal import Importance
from mallowcrank.gateway.receiving import Excess
from mallowcrank.gateway.target_channel import ChannelBroken
from mallowcrank.gateway.targets import Lifetime


def log_broken_channel(
    core: Core, call: Call, lifetime: Lifetime, broken: ChannelBroken
) -> None:
    """
    Log that a target's channel broke before the answer was complete.
    """
    core.journal.say(
        'request: channel broken',
        Importance.FAILURE,
        request=call.fields.request_id,
        digest=call.digest(),
        target=lifetime.identity,
        born_ms=lifetime.born_ms,
        has_begun=call.response.has_begun,
        lasted_s=round(monotonic_s() - call.sent_at, 4),
        why=broken.reason,
        **_excess_fields(broken.excess),
    )


def _excess_fields(excess: Excess | None) -> dict[str, object]:
    if excess is None:
        return {}
    return {'part': excess.part.value, 'held_bytes': excess.held_bytes}


def record_outcome(
    core: Core, call: Call, outcome: str, **details: object
) -> None:
    """
    Count and log the outcome of a call.
    """
    core.meters.requests.labels(call.kind, outcome).inc()
    core.journal.say(
        f'request: {outcome}',
        Importance.ROUTINE if outcome == 'served' else Importance.FAILURE,
        request=call.fields.request_id,
        route=call.route.name,
        service=call.service.name,
        workspace=call.workspace,
        sends=call.sends,
        refused=call.refusals,
        desired=call.desired_version,
        waited_s=round(call.waited_s, 4),
        age_s=round(call.age_s(), 4),
        left_s=round(call.remaining_s(), 3),
        entries_age_s=round(monotonic_s() - core.fleet.entries_read_at, 2),
        **details,
    )
