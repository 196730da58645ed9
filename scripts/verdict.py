"""
The verdict of a whole run of checks: `N passed, N failed`.

Failures that KNOWN-RED.txt lists are printed and not counted. Each entry there
has a line `test: MODULE.CLASS.METHOD`.
"""

import re
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

KNOWN_FAILURES_FILE = 'KNOWN-RED.txt'
RAN = re.compile(r'^Ran (\d+) tests? in ', re.MULTILINE)
ENDED = re.compile(r'^(OK|FAILED)\b', re.MULTILINE)
FAILURE = re.compile(
    r'^(?:FAIL|ERROR|UNEXPECTED SUCCESS): .*?\(([\w.]+)\)', re.MULTILINE
)
ENTRY = re.compile(r'^test: (\S+)$', re.MULTILINE)
INCOMPLETE_RUN = 'the end of the test run'


@dataclass(frozen=True)
class Verdict:
    """
    What a run of checks came to.

    :param failed: the names of what failed and is not known.
    :param known: the names of what failed as an entry says.
    """

    passed: int
    failed: tuple[str, ...]
    known: tuple[str, ...]


def parse_known_failures(text: str) -> frozenset[str]:
    """
    Return the names of the tests that are known to fail.

    :param text: the content of KNOWN-RED.txt.
    """
    return frozenset(ENTRY.findall(text))


def summarize_tests(log: str, known: frozenset[str]) -> Verdict:
    """
    Judge a run of tests by what it printed.

    A run that printed no count, or that failed without naming a test, counts
    as one failure.
    """
    ran = RAN.findall(log)
    ended = ENDED.findall(log)
    found = sorted(set(FAILURE.findall(log)))
    if not ran or not ended or (ended[-1] == 'FAILED' and not found):
        return Verdict(0, (INCOMPLETE_RUN,), ())
    return Verdict(
        passed=max(0, int(ran[-1]) - len(found)),
        failed=tuple(name for name in found if name not in known),
        known=tuple(name for name in found if name in known),
    )


def main(words: Sequence[str]) -> int:
    """
    Print the verdict of a run.

    :param words: the file of what the tests printed, the count of other checks
        that passed, and the names of those that failed.
    :returns: 0 where nothing failed that is not known, otherwise 1.
    """
    log, passed, *failed = words
    entries = Path(KNOWN_FAILURES_FILE)
    known = (
        parse_known_failures(entries.read_text())
        if entries.exists()
        else frozenset()
    )
    verdict = summarize_tests(Path(log).read_text(errors='replace'), known)
    for name in verdict.known:
        print(f'known red: {name}')
    failed += verdict.failed
    for name in failed:
        print(f'failed: {name}')
    print(f'{verdict.passed + int(passed)} passed, {len(failed)} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
