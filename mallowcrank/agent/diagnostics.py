"""
What an agent notes about its settings, for operators.
"""

from mallowcrank.config.parsing import is_snapshot
from mallowcrank.config.replica import Replica
from mallowcrank.config.snapshot_checks import check_snapshot
from mallowcrank.config.tree import Tree
from mallowcrank.findings import Finding
from mallowcrank.logs import PartLog
from mallowcrank.ports import LogRecord
from mallowcrank.timeline import Timeline

MAX_FINDINGS = 64
log = PartLog('config')


class SettingsDiagnostics:
    """
    Keeps the latest findings, and tells the log and the time line.
    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._findings: tuple[Finding, ...] = ()
        self._outage = ''

    @property
    def findings(self) -> tuple[Finding, ...]:
        """
        Return the latest findings, the oldest first.
        """
        return self._findings

    @property
    def outage(self) -> str:
        """
        Return why the log can't be read, or an empty string.
        """
        return self._outage

    def add_finding(self, finding: Finding) -> None:
        """
        Keep a finding.
        """
        log.say('Something is wrong.', finding=str(finding))
        self._findings = (*self._findings, finding)[-MAX_FINDINGS:]

    def check_record(self, record: LogRecord, replica: Replica) -> None:
        """
        Compare a snapshot with the settings here.
        """
        if is_snapshot(record) and record.offset > replica.read_through:
            found = check_snapshot(replica, record)
            if found:
                self.add_finding(found)

    def report_outcomes(self, before: Tree, after: Tree) -> None:
        """
        Tell what became of the records between two trees.
        """
        for outcome in after.outcomes:
            if outcome.offset <= before.last:
                continue
            log.say(
                f'A record was decided: {outcome.verdict}.',
                record=outcome.record,
                offset=outcome.offset,
            )
            self._timeline.record(
                'config', f'record {outcome.record} {outcome.verdict}'
            )
            if outcome.reason:
                place = f'record {outcome.offset} ({outcome.record})'
                self.add_finding(Finding(place, outcome.reason))

    def update_outage(self, reason: str) -> None:
        """
        Note that the log can't be read, or can be again.

        :param reason: an empty string where it can.
        """
        if bool(reason) != bool(self._outage):
            what = 'the log is out' if reason else 'the log can be read'
            log.say(f'{what.capitalize()}.', reason=reason)
            self._timeline.record('config', what)
        self._outage = reason
