"""
The operators' command that publishes settings.
"""

import getpass
from dataclasses import dataclass
from types import MappingProxyType
from typing import Annotated

from typer import Context, Exit, Option, Typer

from mallowcrank.cli.operator_options import (
    PROGRAM,
    Agents,
    File,
    Log,
    Routers,
    Timeout,
    Whole,
    client_from_flags,
    fail,
    read_timeout,
    require_answer,
    write_line,
)
from mallowcrank.cli.operator_settings import check_change, read_file
from mallowcrank.cli.options import environment_of, require_no_findings
from mallowcrank.config.files import ParsedFile
from mallowcrank.config.outcomes import Outcome, Verdict
from mallowcrank.config.replica import Replica
from mallowcrank.config.tree import find_outcome
from mallowcrank.config.validation import check_tree
from mallowcrank.context import Environment
from mallowcrank.operators.client import OperatorClient
from mallowcrank.operators.publish import (
    Publication,
    RecordMetadata,
    change_body,
    publish,
    restore_body,
)
from mallowcrank.operators.settings_reader import read_replica
from mallowcrank.operators.settings_texts import (
    format_difference,
    format_lags,
    format_outcome,
)
from mallowcrank.operators.waiting import wait_until_in_force
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran
from mallowcrank.status import ExitStatus

DEFAULT_TIMEOUT_S = '30'
EXIT_STATUSES = MappingProxyType(
    {
        Verdict.ACCEPTED: ExitStatus.SUCCESS,
        Verdict.CONFLICT: ExitStatus.CONFLICT,
        Verdict.STALE: ExitStatus.CONFLICT,
        Verdict.MALFORMED: ExitStatus.REFUSED,
    }
)


@dataclass(frozen=True)
class Session:
    """
    One run of `publish`.

    :param deadline: steady time in seconds at which to give up.
    :param wait: whether to wait until the settings are in force.
    :param whole: whether settings that the file doesn't list are removed.
    :param restore: whether to replace a tree that was lost.
    :param resumed: whether an earlier run may have appended the record.
    """

    environment: Environment
    client: OperatorClient
    metadata: RecordMetadata
    deadline: float
    wait: bool = False
    whole: bool = False
    restore: bool = False
    resumed: bool = False


def register(app: Typer) -> None:
    """
    Add the command to the program.
    """
    app.command(name='publish')(publish_file)


def publish_file(
    context: Context,
    file: File,
    agents: Agents = '',
    routers: Routers = '',
    log: Log = '',
    timeout: Timeout = DEFAULT_TIMEOUT_S,
    wait: Annotated[
        bool,
        Option('--wait', help='Wait until in force on each live router.'),
    ] = False,
    whole: Whole = False,
    restore: Annotated[
        bool,
        Option(
            '--restore',
            help='Replace the whole tree, if the log has lost it and no agent '
            'has it.',
        ),
    ] = False,
    note: Annotated[str, Option(help='The reason; shown by `history`.')] = '',
    author: Annotated[
        str,
        Option(
            envvar='MALLOWCRANK_AUTHOR', help='The author; shown by `history`.'
        ),
    ] = '',
    record: Annotated[
        str,
        Option(
            '--id',
            help='The id of the record of a run that ended with an unknown '
            'outcome; the record is looked up before it is appended.',
        ),
    ] = '',
) -> None:
    """
    Publish the changes of a file atomically, as one record.

    Exit statuses: 0 accepted (with --wait: in force on each live router), 1
    nothing was published, 2 bad flags or settings, 3 refused, 4 outcome unknown
    or not in force in time, 5 another record changed a setting first.
    """
    environment = environment_of(context)
    client = client_from_flags(context, agents, log, routers)
    timeout_s = read_timeout(context, timeout)
    if client.log is None:
        raise fail(
            environment, '--log is required to publish', ExitStatus.BAD_SETTINGS
        )
    new_id = f'{environment.random.getrandbits(64):016x}'
    session = Session(
        environment=environment,
        client=client,
        metadata=RecordMetadata(record or new_id, author or _user_name(), note),
        deadline=client.steady() + timeout_s,
        wait=wait,
        whole=whole,
        restore=restore,
        resumed=bool(record),
    )
    raise Exit(_publish_parsed(session, read_file(environment, file)))


def _publish_parsed(session: Session, parsed: ParsedFile) -> ExitStatus:
    require_no_findings(session.environment, PROGRAM, parsed.findings)
    replica = read_replica(session.client)
    require_answer(session.environment, replica)
    earlier_outcome = replica.tree and find_outcome(
        replica.tree, session.metadata.record
    )
    if earlier_outcome:
        return _report_outcome(session, earlier_outcome)
    body = _build_body(session, replica, parsed)
    if body is None:
        write_line(session.environment, 'no changes')
        return ExitStatus.SUCCESS
    outcome = publish(
        session.client,
        Publication(
            body, replica, session.deadline, may_be_appended=session.resumed
        ),
    )
    if isinstance(outcome, Failure):
        return _report_failure(session, outcome)
    return _report_outcome(session, outcome)


def _build_body(
    session: Session, replica: Replica, parsed: ParsedFile
) -> dict[str, object] | None:
    if session.restore:
        return _build_restore_body(session, replica, parsed)
    environment = session.environment
    if replica.tree is None or not replica.is_complete:
        message = (
            'the log has lost records and no agent that answered has them; '
            'give agents that do, or publish the whole tree with --restore'
        )
        raise fail(environment, message, ExitStatus.ERROR)
    difference, findings = check_change(
        replica.tree, parsed, whole=session.whole
    )
    require_no_findings(environment, PROGRAM, findings)
    if difference.conflicts:
        for each in difference.conflicts:
            environment.stderr.write(
                f'{each.setting}: {each.winner} changed it at offset '
                f'{each.version}, after the file was written\n'
            )
        message = 'nothing was published; see `mallowcrank show`'
        raise fail(environment, message, ExitStatus.CONFLICT)
    if not difference.changes:
        return None
    write_line(environment, format_difference(difference))
    return change_body(replica, difference, session.metadata)


def _build_restore_body(
    session: Session, replica: Replica, parsed: ParsedFile
) -> dict[str, object]:
    if replica.tree is not None and replica.tree.version >= 0:
        message = (
            f'the settings of version {replica.tree.version} are in force; '
            'nothing was published; publish without --restore'
        )
        raise fail(session.environment, message, ExitStatus.REFUSED)
    findings = check_tree(parsed.draft.settings, parsed.locations)
    require_no_findings(session.environment, PROGRAM, findings)
    return restore_body(replica, parsed.draft, session.metadata)


def _report_failure(session: Session, failure: Failure) -> ExitStatus:
    if failure.ran is Ran.NO:
        message = f'nothing was published: {failure.reason}'
        session.environment.stderr.write(f'{PROGRAM}: {message}\n')
        return ExitStatus.ERROR
    session.environment.stderr.write(
        f'{PROGRAM}: unknown whether the log has the record: '
        f'{failure.reason}.\nRun the same command with --id '
        f'{session.metadata.record}.\n'
    )
    return ExitStatus.TIMEOUT


def _report_outcome(session: Session, outcome: Outcome) -> ExitStatus:
    write_line(session.environment, format_outcome(outcome))
    status = EXIT_STATUSES[outcome.verdict]
    if status is not ExitStatus.SUCCESS or not session.wait:
        return status
    lags = wait_until_in_force(session.client, outcome.offset, session.deadline)
    if not lags:
        write_line(session.environment, f'version {outcome.offset} is in force')
        return ExitStatus.SUCCESS
    session.environment.stderr.write(
        f'{PROGRAM}: accepted, but not yet in force on:\n{format_lags(lags)}\n'
    )
    return ExitStatus.TIMEOUT


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''
