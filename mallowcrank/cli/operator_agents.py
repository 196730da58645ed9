"""
The operators' commands that call agents: status, members, leases, order.
"""

import json
import time
from typing import Annotated, Any

from typer import Argument, Context, Option, Typer

from mallowcrank.cli.operator_options import (
    Agents,
    Json,
    Routers,
    client_from_flags,
    fail,
    require_answer,
    write_line,
)
from mallowcrank.cli.options import environment_of
from mallowcrank.operators.client import OperatorClient, get_admin, post_admin
from mallowcrank.operators.concurrent_calls import fetch_statuses
from mallowcrank.operators.tables import format_table, status_rows
from mallowcrank.ports import Failure
from mallowcrank.status import ExitStatus

STATUS_COLUMNS = (
    'program',
    'host',
    'version',
    'age_s',
    'leaving',
    'outage',
)
TARGET_COLUMNS = (
    'name',
    'kind',
    'state',
    'availability_zone',
    'serves',
    'first_layer',
    'last_layer',
    'load',
)


def register(app: Typer) -> None:
    """
    Add the commands to the program.
    """
    for command in (status, members, leases, order):
        app.command()(command)


def status(
    context: Context,
    agents: Agents = '',
    routers: Routers = '',
    as_json: Json = False,
) -> None:
    """
    Show the version in force on each agent and router.

    Exits with status 1 if one of them does not answer.
    """
    environment = environment_of(context)
    client = client_from_flags(context, agents, '', routers)
    addresses = (*client.settings.agents, *client.settings.routers)
    answers = fetch_statuses(addresses)
    rows = status_rows(answers)
    if as_json:
        write_line(environment, json.dumps(rows, indent=2))
    else:
        write_line(environment, format_table(rows, STATUS_COLUMNS))
        for row in rows:
            for finding in row.get('findings', ()):
                write_line(environment, f'{row["host"]}: {finding}')
    if any(isinstance(answer, Failure) for answer in answers.values()):
        raise fail(
            environment,
            'some agents or routers did not answer',
            ExitStatus.ERROR,
        )


def members(
    context: Context, agents: Agents = '', as_json: Json = False
) -> None:
    """
    Show the targets known to one agent.
    """
    environment = environment_of(context)
    answer = _first_answer(
        client_from_flags(context, agents, ''), '/admin/members'
    )
    require_answer(environment, answer)
    if as_json:
        write_line(environment, json.dumps(answer, indent=2))
        return
    targets = answer['targets']
    rows = [targets[name] for name in sorted(targets)]
    write_line(environment, format_table(rows, TARGET_COLUMNS))


def leases(context: Context, agents: Agents = '') -> None:
    """
    Show the holders of the leases for orders, as known to one agent.
    """
    environment = environment_of(context)
    answer = _first_answer(
        client_from_flags(context, agents, ''), '/admin/leases'
    )
    require_answer(environment, answer)
    write_line(environment, json.dumps(answer, indent=2))


def order(
    context: Context,
    target: Annotated[str, Argument(help="The target's name.")],
    action: Annotated[str, Argument(help='load, role or adapter.')],
    serves: Annotated[str, Option(help='The model to serve.')] = '',
    layers: Annotated[str, Option(help='The layers to load, FIRST-LAST.')] = '',
    version: Annotated[str, Option(help='The version to load.')] = '',
    role: Annotated[str, Option(help='The new role.')] = '',
    agents: Agents = '',
) -> None:
    """
    Ask an agent to send an order to a target, for which it needs a lease.
    """
    environment = environment_of(context)
    client = client_from_flags(context, agents, '')
    body: dict[str, Any] = {
        'target': target,
        'action': action,
        'asked': time.time(),
    }
    options = {'serves': serves, 'version': version, 'role': role}
    body |= {name: text for name, text in options.items() if text}
    if layers:
        first, _, last = layers.partition('-')
        if not first.isdecimal() or not last.isdecimal():
            message = f'--layers: {layers!r} is not FIRST-LAST'
            raise fail(environment, message, ExitStatus.BAD_SETTINGS)
        body |= {'first_layer': int(first), 'last_layer': int(last)}
    answer = post_admin(client.settings.agents[0], '/admin/orders', body)
    if isinstance(answer, Failure):
        message = f'{answer.reason} (ran: {answer.ran})'
        raise fail(environment, message, ExitStatus.REFUSED)
    write_line(environment, json.dumps(answer, indent=2))


def _first_answer(client: OperatorClient, path: str) -> Any | Failure:
    """
    Call the agents in turn and return the first answer.

    :param path: the path of an admin endpoint.
    :returns: the answer's JSON, or the last `Failure` if no agent answers.
    """
    answer: Any | Failure = None
    for agent in client.settings.agents:
        answer = get_admin(agent, path)
        if not isinstance(answer, Failure):
            return answer
    return answer
