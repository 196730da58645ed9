"""
The drain command: ask routers or agents to stop gracefully.
"""

from collections.abc import Sequence

from mallowcrank.calls import HttpCaller
from mallowcrank.findings import Finding
from mallowcrank.operators.concurrent_calls import call_each
from mallowcrank.ports import Failure

DRAIN_TIMEOUT_S = 5
ACCEPTED = frozenset((200, 202))


def drain(processes: Sequence[str]) -> tuple[Finding, ...]:
    """
    Ask each process to finish what it has and stop.

    :param processes: admin addresses, `IP:PORT`.
    :returns: the processes that didn't take the order.
    """
    outcomes = call_each(processes, _drain_one).values()
    return tuple(outcome for outcome in outcomes if outcome)


def _drain_one(address: str) -> Finding | None:
    reply = HttpCaller(address).call(
        'POST', '/admin/drain', b'', timeout_s=DRAIN_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return Finding(address, reply.reason, 'check that it still runs')
    if reply.status not in ACCEPTED:
        return Finding(address, f'answered {reply.status}', 'see its log')
    return None
