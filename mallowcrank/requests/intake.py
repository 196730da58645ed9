"""
Reads callers' requests; what is wrong comes back as a refusal that names it.
"""

from collections.abc import Mapping

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.calls import ServiceCall, Terms
from mallowcrank.view import View, WorkspaceSettings
from mallowcrank.web import Request

WORKSPACE = 'X-Mallowcrank-Workspace'
DEADLINE = 'X-Mallowcrank-Deadline-Ms'
PRIORITY = 'X-Mallowcrank-Priority'
REPEATABLE = 'X-Mallowcrank-Repeatable'
FORWARDED_BY = 'X-Mallowcrank-Forwarded-By'
KEY = 'Idempotency-Key'

SERVICES = '/v1/services/'
MAX_KEY_CHARACTERS = 255
MAX_PRIORITY = 100
MAX_TIMEOUT_S = 600
MILLISECONDS = 1000  # in a second

OWN_HEADERS = frozenset(('host', 'connection', 'content-length', 'te'))


def refuse_input(
    message: str, field: str | None, reason: Reason = Reason.BAD_REQUEST
) -> Refused:
    """
    Build the refusal of a request that is wrong in itself.
    """
    return Refused(reason, Ran.NO, message, field=field)


def refuse_size() -> Refused:
    """
    Build the refusal of a body over the limit.
    """
    return refuse_input('the body is too large', 'body', Reason.BODY_TOO_LARGE)


def read_service_call(request: Request, view: View) -> ServiceCall | Refused:
    """
    Read a call of `/v1/services/NAME/REST`.
    """
    if request.too_large:
        return refuse_size()
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
    terms = read_terms(
        request, workspace, settings.timeout_s, default=settings.repeatable
    )
    if isinstance(terms, Refused):
        return terms
    return ServiceCall(
        terms=terms,
        service=name,
        method=request.method,
        path=path,
        headers=passed_headers(request.headers),
        body=request.body,
    )


def split_service(target: str) -> tuple[str, str]:
    """
    Return the service's name, and the path and query for its replica.
    """
    path, mark, query = target.removeprefix(SERVICES).partition('?')
    name, _, rest = path.partition('/')
    return name, f'/{rest}{mark}{query}'


def passed_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """
    Return the headers that go on to another program.
    """
    return {
        name: given
        for name, given in headers.items()
        if given and name not in OWN_HEADERS
    }


def find_workspace(request: Request, view: View) -> WorkspaceSettings | Refused:
    """
    Return the settings of the workspace that a request names.
    """
    name = request.headers.get(WORKSPACE.lower(), '')
    if not name:
        return refuse_input(f'name your workspace in {WORKSPACE}', WORKSPACE)
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
            f'no workspace {name!r}', WORKSPACE, Reason.UNKNOWN_WORKSPACE
        )
    return settings


def read_terms(
    request: Request,
    workspace: WorkspaceSettings,
    timeout_s: float,
    *,
    default: bool,
) -> Terms | Refused:
    """
    Read the headers that any request may have.

    :param timeout_s: seconds, where the caller gives no deadline.
    :param default: whether it may repeat, where the caller does not say.
    """
    headers = request.headers
    limit_ms = _read_number(
        headers,
        DEADLINE,
        timeout_s * MILLISECONDS,
        MAX_TIMEOUT_S * MILLISECONDS,
    )
    if isinstance(limit_ms, Refused):
        return limit_ms
    if limit_ms <= 0:
        return refuse_input(
            'the deadline has passed', DEADLINE, Reason.DEADLINE_PASSED
        )
    priority = _read_number(headers, PRIORITY, 0, MAX_PRIORITY)
    if isinstance(priority, Refused):
        return priority
    repeatable = _read_repeatable(headers, default=default)
    if isinstance(repeatable, Refused):
        return repeatable
    key = headers.get(KEY.lower(), '')
    if len(key) > MAX_KEY_CHARACTERS:
        return refuse_input(
            f'the key is over {MAX_KEY_CHARACTERS} characters', KEY
        )
    if not repeatable and not key:
        return refuse_input(
            f'a request that may not repeat needs {KEY}; '
            'start it with the key_prefix of /v1/addresses',
            KEY,
            Reason.KEY_REQUIRED,
        )
    return Terms(
        workspace=workspace.name,
        timeout_s=limit_ms / MILLISECONDS,
        priority=int(priority),
        repeatable=repeatable,
        key=key,
        forwarded_by=headers.get(FORWARDED_BY.lower(), ''),
    )


def _read_number(
    headers: Mapping[str, str], name: str, default: float, limit: float
) -> float | Refused:
    raw = headers.get(name.lower(), '')
    if not raw:
        return default
    try:
        given = int(raw)
    except ValueError:
        return refuse_input(f'{name} is not a whole number', name)
    return max(-limit, min(limit, given))


def _read_repeatable(
    headers: Mapping[str, str], *, default: bool
) -> bool | Refused:
    raw = headers.get(REPEATABLE.lower(), '')
    if raw not in {'', 'yes', 'no'}:
        return refuse_input(f'{REPEATABLE} is yes or no', REPEATABLE)
    return raw == 'yes' if raw else default
