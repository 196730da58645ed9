"""
Parsing of probe responses and router reports about targets.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank.membership.facts import TargetFact
from mallowcrank.view import TargetKind

MAX_REASON_CHARS = 80
LEAVING_REASON = 'leaving'  # the target itself announced it to a router


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """
    The result of one probe.

    :param fact: the description that the target reported, or `None` if the
        probe failed.
    :param load: streams in the target's batch, as it reported.
    :param reason: why the probe failed, or an empty string.
    """

    name: str
    fact: TargetFact | None = None
    load: int = 0
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Suspect:
    """
    A target that this host's router reported as unusable.
    """

    target: str
    incarnation: int
    reason: str


def parse_status(
    name: str, address: str, status: Mapping[str, Any]
) -> ProbeResult:
    """
    Parse a target's response to `GET /status`.

    :raises ValueError: when a field can't be parsed.
    :raises KeyError: when a required field is missing.
    """
    fact = TargetFact(
        name=name,
        incarnation=int(status['incarnation']),
        leaving=bool(status.get('leaving')),
        version=0,
        gone=False,
        kind=TargetKind(status['kind']),
        address=address,
        availability_zone=str(status['availability_zone']),
        serves=str(status['serves']),
        first_layer=int(status.get('first_layer') or 0),
        last_layer=int(status.get('last_layer') or 0),
        step_ms=float(status.get('step_ms') or 1),
        slots=int(status.get('slots') or 1),
        model_version=str(status.get('version') or ''),
        fencing=str(status.get('fencing') or 'unstated'),
    )
    return ProbeResult(name, fact, int(status.get('load') or 0))


def parse_suspects(report: Mapping[str, Any]) -> tuple[Suspect, ...]:
    """
    Parse the suspects of a router's report, skipping those without a target.

    :raises ValueError: when an incarnation is not a number.
    """
    suspects = report.get('suspects') or ()
    return tuple(
        Suspect(
            str(each['target']),
            int(each.get('incarnation') or 0),
            str(each.get('reason') or '')[:MAX_REASON_CHARS],
        )
        for each in suspects
        if isinstance(each, Mapping) and each.get('target')
    )
