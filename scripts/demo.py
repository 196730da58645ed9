"""
End-to-end demo on stand-ins: publishes settings and sends three requests.
"""

import sys
from pathlib import Path

import urllib3

from scripts.fleet import Fleet, Process
from scripts.layout import Engine, Layout, Service
from scripts.system import System, publish, start_all

SETTINGS = Path(__file__).parent.parent / 'examples' / 'demo.toml'
ZONES = ('shah-alam', 'petaling', 'cyberjaya')
WORKSPACE = 'shah-alam/counter'
TIMEOUT_S = 30
ENGINES = (
    Engine('engine-1', '0-15', 6, ZONES[0]),
    Engine('engine-2', '8-23', 8, ZONES[1]),
    Engine('engine-3', '0-11', 5, ZONES[1]),
    Engine('engine-4', '12-23', 4, ZONES[2]),
)
SERVICES = (
    Service('catalogue-1', 'catalogue', ZONES[0]),
    Service('catalogue-2', 'catalogue', ZONES[1]),
)


class Caller:
    """
    A caller that discovers a router by `/v1/addresses`, as all callers do.
    """

    def __init__(self, first_router: str) -> None:
        self._http = urllib3.PoolManager(retries=False)
        answer = self._http.request(
            'GET', f'http://{first_router}/v1/addresses', timeout=TIMEOUT_S
        ).json()
        self._router = answer['addresses'][0]
        self._key_prefix = answer['key_prefix']

    def chat(self) -> None:
        """
        Request a chat completion without streaming.
        """
        answer = self._post('/v1/chat/completions', _chat_body(stream=False))
        message = answer.json()['choices'][0]['message']['content']
        _print_answer('chat completion', answer, repr(message))

    def stream(self) -> str:
        """
        Request a streamed chat completion.

        :returns: the request ID.
        """
        answer = self._post('/v1/chat/completions', _chat_body(stream=True))
        events = answer.data.decode().split('\n\n')
        chunks = [event for event in events if event]
        _print_answer(
            'stream', answer, f'{len(chunks)} events, last {chunks[-1]!r}'
        )
        return answer.headers['X-Mallowcrank-Request']

    def look_up_stock(self) -> None:
        """
        Send a call that may not run twice, then repeat it with the same key.
        """
        key = {'Idempotency-Key': f'{self._key_prefix}sinamay-7'}
        for title in ('stock lookup', 'repeated stock lookup'):
            answer = self._post(
                '/v1/services/catalogue/stock', {'item': 'sinamay'}, key
            )
            replayed = answer.headers.get('X-Mallowcrank-Replayed', 'no')
            _print_answer(
                title, answer, f'{answer.json()}, replayed: {replayed}'
            )

    def _post(
        self,
        path: str,
        body: dict[str, object],
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        answer = self._http.request(
            'POST',
            f'http://{self._router}{path}',
            json=body,
            headers={'X-Mallowcrank-Workspace': WORKSPACE, **(headers or {})},
            timeout=TIMEOUT_S,
        )
        if answer.status != 200:
            raise RuntimeError(f'{path}: {answer.status} {answer.data!r}')
        return answer


def _chat_body(*, stream: bool) -> dict[str, object]:
    prompt = 'Draft a quote for a wedding songkok.'
    return {
        'model': 'assistant',
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': 24,
        'stream': stream,
    }


def _print_answer(
    title: str, answer: urllib3.BaseHTTPResponse, content: str
) -> None:
    route = answer.headers.get('X-Mallowcrank-Route')
    router = answer.headers.get('X-Mallowcrank-Router')
    print(f'{title}: {content}')
    print(f'    by {router} over {route}')


def wait_and_print(process: Process) -> int:
    """
    Wait until the operators' client exits and print its output.

    :returns: the exit status.
    """
    status = process.wait(TIMEOUT_S)
    print(process.log_path.read_text().rstrip())
    return status


def send_requests(layout: Layout) -> str:
    """
    Send three kinds of requests.

    :returns: the request ID of the stream.
    """
    caller = Caller(layout.addresses.routers[0])
    caller.chat()
    request_id = caller.stream()
    caller.look_up_stock()
    return request_id


def stop_gracefully(fleet: Fleet) -> list[str]:
    """
    Stop all routers and agents.

    :returns: names of those that did not exit with status 0.
    """
    names = [
        f'{part}-{number}'
        for part in ('router', 'agent')
        for number in range(len(ZONES))
    ]
    for each in names:
        fleet.get(each).terminate()
    return [name for name in names if fleet.get(name).wait()]


def main() -> int:
    """
    Run the demo.

    :returns: the exit status.
    """
    with Fleet() as fleet:
        layout = Layout(fleet, hosts=len(ZONES))
        print('Starting log, host list, weight store, 6 targets, 3 hosts.')
        start_all(layout, System(ENGINES, SERVICES, ZONES))
        layout.wait_until_up()
        if wait_and_print(publish(fleet, layout, SETTINGS)):
            return 1
        layout.wait_until_targets_known()
        request_id = send_requests(layout)
        print('Timeline of the streamed request:')
        addresses = layout.addresses
        processes = (*addresses.router_admins, *addresses.agent_admins)
        timeline = fleet.start(
            'timeline',
            'operator',
            'timeline',
            f'--request={request_id}',
            f'--processes={",".join(processes)}',
        )
        wait_and_print(timeline)
        failed = stop_gracefully(fleet)
        print(f'Stopped gracefully; failed: {", ".join(failed) or "none"}.')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
