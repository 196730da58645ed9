"""
Findings, outcomes and outages of an agent's settings, for operators.
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
    Keeps the latest findings; writes events to the log and the timeline.
    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._findings: tuple[Finding, ...] = ()
        self._outage = ''

    @property
    def findings(self) -> tuple[Finding, ...]:
        """
        Return the latest findings, oldest first.
        """
        return self._findings

    @property
    def outage(self) -> str:
        """
        Return why the platform's log can't be read, or an empty string.
        """
        return self._outage

    def add_finding(self, finding: Finding) -> None:
        """
        Log a finding and keep it.
        """
        log.say('A problem was found.', finding=str(finding))
        self._findings = (*self._findings, finding)[-MAX_FINDINGS:]

    def check_record(self, record: LogRecord, replica: Replica) -> None:
        """
        If a record is a new snapshot, compare it with the replica.
        """
        if is_snapshot(record) and record.offset > replica.read_through:
            finding = check_snapshot(replica, record)
            if finding:
                self.add_finding(finding)

    def report_outcomes(self, before: Tree, after: Tree) -> None:
        """
        Report the outcomes of the records that were folded between two trees.
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
        Record whether the platform's log can be read.

        :param reason: why it can't be read; empty if it can.
        """
        if bool(reason) != bool(self._outage):
            event = 'the log is out' if reason else 'the log can be read'
            log.say(f'{event.capitalize()}.', reason=reason)
            self._timeline.record('config', event)
        self._outage = reason
