"""
The operators' commands that read settings: validate, diff, show, history.
"""

import json
from pathlib import Path
from typing import Annotated

from typer import Context, Exit, Option, Typer

from mallowcrank.cli.operator_options import (
    PROGRAM,
    Agents,
    File,
    Json,
    Log,
    Whole,
    client_from_flags,
    fail,
    require_answer,
    write_line,
)
from mallowcrank.cli.options import environment_of, require_no_findings
from mallowcrank.codec import to_plain
from mallowcrank.config.difference import (
    Difference,
    find_difference,
    values_after,
)
from mallowcrank.config.effective import compute_effective
from mallowcrank.config.files import ParsedFile, read_draft
from mallowcrank.config.nodes import workspace_node
from mallowcrank.config.tree import Tree
from mallowcrank.config.validation import check_tree
from mallowcrank.context import Environment
from mallowcrank.findings import Finding, format_findings
from mallowcrank.operators.settings_reader import read_tree
from mallowcrank.operators.settings_texts import (
    format_difference,
    format_effective,
    format_outcome,
    format_tree,
)
from mallowcrank.status import ExitStatus


def register(app: Typer) -> None:
    """
    Add the commands to the program.
    """
    for command in (validate, diff, show, history):
        app.command()(command)


def read_file(environment: Environment, name: str) -> ParsedFile:
    """
    Read and parse a settings file.

    :returns: the settings, and the findings about single lines.
    :raises Exit: with `BAD_SETTINGS`, if the file can't be read.
    """
    try:
        text = Path(name).read_text()
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(
            name, f'cannot be read: {error}', 'give a readable file'
        )
        require_no_findings(environment, PROGRAM, (finding,))
    return read_draft(text, name)


def check_change(
    tree: Tree, parsed: ParsedFile, *, whole: bool
) -> tuple[Difference, tuple[Finding, ...]]:
    """
    Return the changes that a file makes, and all findings about the result.

    :param whole: whether settings that the file doesn't list are removed.
    """
    difference = find_difference(tree, parsed.draft, whole=whole)
    values = values_after(tree, difference)
    findings = (*parsed.findings, *check_tree(values, parsed.locations))
    return difference, findings


def validate(
    context: Context,
    file: File,
    agents: Agents = '',
    log: Log = '',
    whole: Whole = False,
) -> None:
    """
    Check a settings file; with --agents or --log, applied to those in force.

    Reports all findings together and exits with status 2 if there are any.
    """
    environment = environment_of(context)
    parsed = read_file(environment, file)
    tree = Tree()
    if agents or log:
        tree = read_tree(client_from_flags(context, agents, log))
        require_answer(environment, tree)
    findings = parsed.findings
    # The result of a file with errors isn't what was meant; don't check it.
    if not findings:
        _, findings = check_change(tree, parsed, whole=whole)
    if findings:
        environment.stderr.write(f'{format_findings(findings)}\n')
        raise Exit(ExitStatus.BAD_SETTINGS)
    write_line(
        environment, f'{file}: {len(parsed.draft.settings)} settings, all valid'
    )


def diff(
    context: Context,
    file: File,
    agents: Agents = '',
    log: Log = '',
    whole: Whole = False,
) -> None:
    """
    Show what publishing a file would change.
    """
    environment = environment_of(context)
    parsed = read_file(environment, file)
    require_no_findings(environment, PROGRAM, parsed.findings)
    tree = read_tree(client_from_flags(context, agents, log))
    require_answer(environment, tree)
    difference = find_difference(tree, parsed.draft, whole=whole)
    write_line(environment, format_difference(difference))


def show(
    context: Context,
    effective: Annotated[
        str,
        Option(
            help='BRANCH/WORKSPACE; show its effective settings, each with '
            'its source.'
        ),
    ] = '',
    agents: Agents = '',
    log: Log = '',
    as_json: Json = False,
) -> None:
    """
    Print the settings in force, as a file that can be edited and published.
    """
    environment = environment_of(context)
    tree = read_tree(client_from_flags(context, agents, log))
    require_answer(environment, tree)
    if not effective:
        write_line(environment, format_tree(tree))
        return
    effective_settings = compute_effective(tree).workspaces.get(effective)
    if effective_settings is None:
        message = f'unknown workspace {effective}; see `mallowcrank show`'
        raise fail(environment, message, ExitStatus.ERROR)
    values = to_plain(effective_settings)
    if as_json:
        write_line(environment, json.dumps(values, indent=2))
    else:
        node = workspace_node(effective)
        write_line(environment, format_effective(tree, node, values))


def history(
    context: Context,
    agents: Agents = '',
    log: Log = '',
    as_json: Json = False,
) -> None:
    """
    List the outcomes of the latest records, the oldest first.
    """
    environment = environment_of(context)
    tree = read_tree(client_from_flags(context, agents, log))
    require_answer(environment, tree)
    if as_json:
        write_line(environment, json.dumps(to_plain(tree.outcomes), indent=2))
        return
    for outcome in tree.outcomes:
        write_line(environment, format_outcome(outcome))
