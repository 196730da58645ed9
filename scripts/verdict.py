"""
Prints the result of a CI run as `N passed, N failed`.

Failures that are listed in KNOWN-RED.txt are printed but not counted. Each
entry of that file has a line `test: MODULE.CLASS.METHOD`.
"""

import re
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

KNOWN_FAILURES_FILE = 'KNOWN-RED.txt'
TEST_COUNT = re.compile(r'^Ran (\d+) tests? in ', re.MULTILINE)
OUTCOME = re.compile(r'^(OK|FAILED)\b', re.MULTILINE)
FAILED_TEST = re.compile(
    r'^(?:FAIL|ERROR|UNEXPECTED SUCCESS): .*?\(([\w.]+)\)', re.MULTILINE
)
KNOWN_TEST = re.compile(r'^test: (\S+)$', re.MULTILINE)
INCOMPLETE_RUN = 'the end of the test run'


@dataclass(frozen=True)
class Verdict:
    """
    The result of a run of checks.

    :param passed: number of tests that passed.
    :param failed: names of the tests that failed and are not listed.
    :param known: names of the tests that failed and are listed.
    """

    passed: int
    failed: tuple[str, ...]
    known: tuple[str, ...]


def parse_known_failures(text: str) -> frozenset[str]:
    """
    Return the names of the tests that are known to fail.

    :param text: content of KNOWN-RED.txt.
    """
    return frozenset(KNOWN_TEST.findall(text))


def summarize_tests(log: str, known: frozenset[str]) -> Verdict:
    """
    Determine the result of a test run from its output.

    A run without a count of tests or an outcome, or that failed without naming
    a test, counts as one failure.

    :param log: output of the test runner.
    :param known: names of the tests that are known to fail.
    """
    counts = TEST_COUNT.findall(log)
    outcomes = OUTCOME.findall(log)
    failures = sorted(set(FAILED_TEST.findall(log)))
    if (
        not counts
        or not outcomes
        or (outcomes[-1] == 'FAILED' and not failures)
    ):
        return Verdict(0, (INCOMPLETE_RUN,), ())
    return Verdict(
        passed=max(0, int(counts[-1]) - len(failures)),
        failed=tuple(name for name in failures if name not in known),
        known=tuple(name for name in failures if name in known),
    )


def main(arguments: Sequence[str]) -> int:
    """
    Print the result of a run.

    :param arguments: path of the test output, number of other checks that
        passed, and the names of those that failed.
    :returns: 0 when only known tests failed, otherwise 1.
    """
    log, passed, *failed = arguments
    known_path = Path(KNOWN_FAILURES_FILE)
    known = (
        parse_known_failures(known_path.read_text())
        if known_path.exists()
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
