"""
The drain command: tells routers or agents to shut down gracefully.
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
    Tell each process to finish its current work and stop.

    :param processes: admin addresses, `IP:PORT`.
    :returns: a finding for each process that did not accept.
    """
    outcomes = call_each(processes, _drain_one).values()
    return tuple(outcome for outcome in outcomes if outcome)


def _drain_one(address: str) -> Finding | None:
    reply = HttpCaller(address).call(
        'POST', '/admin/drain', b'', timeout_s=DRAIN_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return Finding(
            address, reply.reason, 'check that the process is running'
        )
    if reply.status not in ACCEPTED:
        return Finding(
            address, f'answered {reply.status}', 'see the log of the process'
        )
    return None
