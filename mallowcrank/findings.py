"""
Findings: problems with their place, collected and reported together.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """
    One problem.

    :param place: the flag, file and line, or path of a setting.
    :param problem: what is wrong, as a short sentence.
    :param advice: what to do about it.
    """

    place: str
    problem: str
    advice: str = ''

    def __str__(self) -> str:
        text = f'{self.place}: {self.problem}'
        return f'{text} ({self.advice})' if self.advice else text


def format_findings(findings: Iterable[Finding]) -> str:
    """
    Lay out findings one a line, sorted by place.

    :returns: the text, without a final line end.
    """
    ordered = sorted(findings, key=lambda finding: finding.place)
    return '\n'.join(str(finding) for finding in ordered)
