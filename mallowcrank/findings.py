"""
Findings: problems with their location, which are reported together.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """
    One problem.

    :param place: the flag, the file and line, or the path of a setting.
    :param problem: what is wrong, as a short sentence.
    :param advice: how to fix the problem; may be empty.
    """

    place: str
    problem: str
    advice: str = ''

    def __str__(self) -> str:
        text = f'{self.place}: {self.problem}'
        return f'{text} ({self.advice})' if self.advice else text


def format_findings(findings: Iterable[Finding]) -> str:
    """
    Format findings one per line, sorted by place.

    :returns: the text, without a trailing newline.
    """
    ordered = sorted(findings, key=lambda finding: finding.place)
    return '\n'.join(str(finding) for finding in ordered)
