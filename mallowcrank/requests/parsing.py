"""
Parses requests; invalid input gives a refusal that names the field.
"""

from collections.abc import Mapping

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.calls import RequestOptions, ServiceCall
from mallowcrank.view import View, WorkspaceSettings
from mallowcrank.web import Request

WORKSPACE_HEADER = 'X-Mallowcrank-Workspace'
DEADLINE_HEADER = 'X-Mallowcrank-Deadline-Ms'
PRIORITY_HEADER = 'X-Mallowcrank-Priority'
REPEATABLE_HEADER = 'X-Mallowcrank-Repeatable'
FORWARDED_BY_HEADER = 'X-Mallowcrank-Forwarded-By'
KEY_HEADER = 'Idempotency-Key'

SERVICES_PREFIX = '/v1/services/'
MAX_KEY_CHARACTERS = 255
MAX_PRIORITY = 100
MAX_TIMEOUT_S = 600
MS_PER_S = 1000

UNFORWARDED_HEADERS = frozenset(('host', 'connection', 'content-length', 'te'))


def refuse_input(
    message: str, field: str | None, reason: Reason = Reason.BAD_REQUEST
) -> Refused:
    """
    Build the refusal of an invalid request.

    :param field: the invalid header or body field, if there is one.
    """
    return Refused(reason, Ran.NO, message, field=field)


def refuse_too_large() -> Refused:
    """
    Build the refusal of a request body over the size limit.
    """
    return refuse_input('the body is too large', 'body', Reason.BODY_TOO_LARGE)


def read_service_call(request: Request, view: View) -> ServiceCall | Refused:
    """
    Parse a request to `/v1/services/NAME/REST`.

    :returns: the request, or a refusal that names the invalid field.
    """
    if request.too_large:
        return refuse_too_large()
    workspace = find_workspace(request, view)
    if isinstance(workspace, Refused):
        return workspace
    name, path = split_service(request.target)
    settings = view.services.get(name)
    if settings is None or name not in workspace.services:
        return refuse_input(
            f'no service {name!r} in workspace {workspace.name}',
            'path',
            Reason.UNKNOWN_SERVICE,
        )
    options = read_options(
        request,
        workspace,
        settings.timeout_s,
        default_repeatable=settings.repeatable,
    )
    if isinstance(options, Refused):
        return options
    return ServiceCall(
        options=options,
        service=name,
        method=request.method,
        path=path,
        headers=headers_to_forward(request.headers),
        body=request.body,
    )


def split_service(target: str) -> tuple[str, str]:
    """
    Split a request target into the service's name, and the path and query
    to send to its replica.
    """
    path, mark, query = target.removeprefix(SERVICES_PREFIX).partition('?')
    name, _, rest = path.partition('/')
    return name, f'/{rest}{mark}{query}'


def headers_to_forward(headers: Mapping[str, str]) -> dict[str, str]:
    """
    Return the headers that are forwarded to a replica or another router.
    """
    return {
        name: value
        for name, value in headers.items()
        if value and name not in UNFORWARDED_HEADERS
    }


def find_workspace(request: Request, view: View) -> WorkspaceSettings | Refused:
    """
    Return the settings of the workspace named in the request headers.
    """
    name = request.headers.get(WORKSPACE_HEADER.lower(), '')
    if not name:
        return refuse_input(
            f'name your workspace in {WORKSPACE_HEADER}',
            WORKSPACE_HEADER,
        )
    if view.version < 0:
        return Refused(
            Reason.NO_CONFIGURATION,
            Ran.NO,
            'this router has no settings yet',
            retry_after_s=1,
        )
    settings = view.workspaces.get(name)
    if settings is None:
        return refuse_input(
            f'no workspace {name!r}', WORKSPACE_HEADER, Reason.UNKNOWN_WORKSPACE
        )
    return settings


def read_options(
    request: Request,
    workspace: WorkspaceSettings,
    timeout_s: float,
    *,
    default_repeatable: bool,
) -> RequestOptions | Refused:
    """
    Parse the headers that any kind of request may have.

    :param timeout_s: default in seconds, if the caller sets no deadline.
    :param default_repeatable: whether the request may run more than once, if
        the caller does not say.
    """
    headers = request.headers
    limit_ms = _read_number(
        headers,
        DEADLINE_HEADER,
        timeout_s * MS_PER_S,
        MAX_TIMEOUT_S * MS_PER_S,
    )
    if isinstance(limit_ms, Refused):
        return limit_ms
    if limit_ms <= 0:
        return refuse_input(
            'the deadline has passed', DEADLINE_HEADER, Reason.DEADLINE_PASSED
        )
    priority = _read_number(headers, PRIORITY_HEADER, 0, MAX_PRIORITY)
    if isinstance(priority, Refused):
        return priority
    repeatable = _read_repeatable(headers, default=default_repeatable)
    if isinstance(repeatable, Refused):
        return repeatable
    key = headers.get(KEY_HEADER.lower(), '')
    if len(key) > MAX_KEY_CHARACTERS:
        return refuse_input(
            f'the key is over {MAX_KEY_CHARACTERS} characters',
            KEY_HEADER,
        )
    if not repeatable and not key:
        return refuse_input(
            f'a request that may not repeat needs {KEY_HEADER}; '
            'start it with the key_prefix of /v1/addresses',
            KEY_HEADER,
            Reason.KEY_REQUIRED,
        )
    return RequestOptions(
        workspace=workspace.name,
        timeout_s=limit_ms / MS_PER_S,
        priority=int(priority),
        repeatable=repeatable,
        key=key,
        forwarded_by=headers.get(FORWARDED_BY_HEADER.lower(), ''),
    )


def _read_number(
    headers: Mapping[str, str], name: str, default: float, limit: float
) -> float | Refused:
    raw = headers.get(name.lower(), '')
    if not raw:
        return default
    try:
        value = int(raw)
    except ValueError:
        return refuse_input(f'{name} is not a whole number', name)
    return max(-limit, min(limit, value))


def _read_repeatable(
    headers: Mapping[str, str], *, default: bool
) -> bool | Refused:
    raw = headers.get(REPEATABLE_HEADER.lower(), '')
    if raw not in {'', 'yes', 'no'}:
        return refuse_input(
            f'{REPEATABLE_HEADER} is yes or no', REPEATABLE_HEADER
        )
    return raw == 'yes' if raw else default
