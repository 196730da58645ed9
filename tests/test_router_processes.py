"""
A router process with stand-in engines and services that fail.
"""

import json
import threading
import time
from dataclasses import replace
from unittest import TestCase

from mallowcrank.load.evidence import Evidence
from mallowcrank.load.judge import judge
from mallowcrank.load.records import CallKind, CallRecord, Outcome, Plan, Try
from mallowcrank.load.trace import read_traces
from mallowcrank.standins.arithmetic import expected_answer
from mallowcrank.status import ExitStatus
from mallowcrank.view import Peer, Target, TargetKind
from scripts.fleet import Fleet, get_json, post_json
from scripts.layout import Engine, Layout, Service
from tests.utils.local_router import (
    WORKSPACE,
    FakeAgent,
    make_view,
    send,
    service,
    text_of,
    wait_until,
)

LAYERS = 12
TOKENS = 40
STOCK = service('stock', timeout_s=20)
ALERT = service(
    'alert', repeatable=True, urgent=True, silence_s=0.08, timeout_s=20
)


class TestRouterProcesses(TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.layout = Layout(self.fleet, 2)
        self.targets = {}
        self.view = make_view((), (STOCK, ALERT))
        self.agent = FakeAgent(self.view)
        self.addCleanup(self.agent.stop)

    # Start

    def start_engines(self, **ranges):
        for name, layers in ranges.items():
            engine = Engine(name, layers, 10, 'a', LAYERS, serves='m')
            self.layout.start_engine(engine)
            first, last = map(int, layers.split('-'))
            self.add_target(
                name, 'm', TargetKind.ENGINE, first_layer=first, last_layer=last
            )

    def start_service(self, name, serves, work_ms=2):
        self.layout.start_service(Service(name, serves, 'a', work_ms))
        self.add_target(name, serves, TargetKind.SERVICE)

    def add_target(self, name, serves, kind, **layers):
        address = self.layout.targets[name]
        status = get_json(address, '/status')
        self.targets[name] = Target(
            name, kind, address, 'a', serves, status['incarnation'], **layers
        )

    def start_router(self, number=0):
        view = make_view(self.targets.values(), (STOCK, ALERT))
        view = replace(
            view, models={'m': replace(view.models['m'], layers=LAYERS)}
        )
        self.agent.send_view(replace(view, peers=self.view.peers))
        flags = '--feed', self.agent.address, '--keep', '1', '--peer-keys', ''
        process = self.layout.start_router(number, 'a', *flags)
        admin = self.layout.addresses.router_admins[number]
        wait_until(lambda: get_json(admin, '/admin/status')['version'] >= 0)
        return process, self.layout.addresses.routers[number]

    # Calls

    def chat(self, router, prompt='hat', stream=True, **headers):
        body = {
            'model': 'm', 'prompt': prompt, 'max_tokens': TOKENS, 'stream': stream
        }  # fmt: skip
        return send(router, 'POST', '/v1/completions', body, **headers)

    def stock(self, router, key, body=b'bolt', **headers):
        path = '/v1/services/stock/bolt'
        return send(router, 'POST', path, body, idempotency_key=key, **headers)

    def key(self, router):
        prefix = get_json(router, '/v1/addresses')['key_prefix']
        return f'{prefix}a'

    def start_thread(self, call, *args, **headers):
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(call(*args, **headers))
        )
        thread.start()
        self.addCleanup(thread.join)
        return thread, answers

    def inject_fault(self, target, **fault):
        post_json(self.targets[target].address, '/control', fault)

    # Evidence

    def trace_events(self, event):
        events = []
        for path in self.fleet.folder.glob('*.trace'):
            for line in path.read_text().splitlines():
                if line.endswith('}') and json.loads(line)['event'] == event:
                    events.append(json.loads(line))
        return events

    def wait_steps(self, count):
        wait_until(lambda: len(self.trace_events('step')) >= count)

    def check_streams(self, *answered):
        """
        Check answers against the traces, as the load tool's judge does.
        """
        records = [
            self.record(number, prompt, response)
            for number, (prompt, response) in enumerate(answered)
        ]
        trace = read_traces(self.fleet.folder.glob('*.trace'))
        verdict = judge(Evidence(records, trace, {'m': LAYERS}))
        self.assertTrue(verdict.is_clean, verdict)

    def record(self, number, prompt, response):
        self.assertEqual(response.status, 200, response.whole)
        text = text_of(response)
        whole = expected_answer(prompt.encode(), LAYERS, TOKENS).decode()
        self.assertEqual(text, whole)
        request = response.headers['x-mallowcrank-request']
        now = time.time()
        return CallRecord(
            plan=Plan(
                number, CallKind.COMPLETION, WORKSPACE, 'm', prompt, TOKENS
            ),
            outcome=Outcome.COMPLETED,
            started=now,
            ended=now,
            tries=(Try(request, '', now, now, 200, 'yes'),),
            answer=text,
            finish='length' if len(text) == TOKENS else 'stop',
            told_tokens=len(text),
            token_times=((now, len(text)),),
        )

    # Streams

    def test_streams_survive_a_crash_silence_and_crossed_answers(self):
        """
        Guards against wrong, lost or repeated tokens when engines crash, stop
        responding or answer for another stream.
        """
        self.start_engines(e1='0-5', e2='6-11', e3='6-11', e4='0-5')
        _, router = self.start_router()
        prompts = [f'hat number {number}' for number in range(4)]
        calls = [self.start_thread(self.chat, router, each) for each in prompts]
        self.wait_steps(40)
        self.inject_fault('e1', fault='cross', count=3)
        self.inject_fault('e4', fault='silence')
        self.wait_steps(90)
        self.fleet.get('e2').kill()
        for thread, _ in calls:
            thread.join()
        answers = [answers[0] for _, answers in calls]
        self.check_streams(*zip(prompts, answers, strict=True))

    def test_graceful_stop_completes_streams_in_flight(self):
        """
        Guards against a stop that breaks streams in flight.
        """
        self.start_engines(e1='0-11')
        process, router = self.start_router()
        thread, answers = self.start_thread(self.chat, router)
        self.wait_steps(5)
        process.terminate()
        thread.join()
        self.check_streams(('hat', answers[0]))
        self.assertEqual(process.wait(), ExitStatus.SUCCESS)

    # Calls that may not repeat

    def code_and_ran(self, response):
        error = json.loads(response.whole)['error']
        return error['code'], error['ran']

    def test_crash_of_the_target_leaves_the_outcome_unknown(self):
        """
        Guards against a call that may not repeat and runs twice, or whose
        unknown outcome is reported as another.
        """
        self.start_service('s1', 'stock', work_ms=60_000)
        _, router = self.start_router()
        key = self.key(router)
        thread, answers = self.start_thread(self.stock, router, key)
        wait_until(lambda: self.trace_events('call'))
        self.fleet.get('s1').kill()
        thread.join()
        again = self.stock(router, key)
        for answer in (answers[0], again):
            self.assertEqual(
                self.code_and_ran(answer), ('target_failed', 'unknown')
            )
        self.assertEqual(len(self.trace_events('call')), 1)

    def test_retry_at_another_router_after_a_crash_does_not_run(self):
        """
        Guards against running a request twice: its router crashed, and the
        caller retries at another one.
        """
        self.start_service('s1', 'stock', work_ms=500)
        process, first = self.start_router()
        admin = self.layout.addresses.router_admins[0]
        status = get_json(admin, '/admin/status')
        peer = Peer(status['host'], first, 'a', status['incarnation'])
        self.view = replace(self.view, peers={peer.name: peer})
        _, second = self.start_router(1)
        key = self.key(first)
        self.start_thread(self.stock_or_error, first, key)
        wait_until(lambda: self.trace_events('call'))
        process.kill()
        retried = self.stock(second, key)
        self.assertEqual(self.code_and_ran(retried), ('keeper_gone', 'unknown'))
        self.assertEqual(len(self.trace_events('call')), 1)

    def stock_or_error(self, router, key):
        try:
            return self.stock(router, key)
        except OSError as error:
            return error

    def test_router_resumed_late_starts_nothing(self):
        """
        Guards against running requests whose key or deadline expired while the
        router was paused.
        """
        self.start_service('s1', 'stock')
        process, router = self.start_router()
        status = get_json(
            self.layout.addresses.router_admins[0], '/admin/status'
        )
        expiry = int(time.time()) + 2
        name = f'{status["host"]}.{status["incarnation"]}'
        process.pause()
        expired, expired_answers = self.start_thread(
            self.stock, router, f'mc1.{name}.{expiry}.a'
        )
        overdue, overdue_answers = self.start_thread(
            self.stock,
            router,
            f'mc1.{name}.{expiry + 60}.b',
            x_mallowcrank_deadline_ms='1000',
        )
        time.sleep(max(0, expiry + 0.5 - time.time()))
        process.resume()
        expired.join()
        overdue.join()
        self.assertEqual(
            self.code_and_ran(expired_answers[0]), ('key_expired', 'no')
        )
        self.assertEqual(
            self.code_and_ran(overdue_answers[0]), ('deadline_passed', 'no')
        )
        self.assertEqual(self.trace_events('call'), [])

    def test_alert_calls_survive_silent_connections(self):
        """
        Guards against urgent calls that fail because pooled connections have
        gone silent.
        """
        self.start_service('a1', 'alert')
        self.start_service('a2', 'alert')
        _, router = self.start_router()
        alert = '/v1/services/alert/train'
        for _ in range(8):
            send(router, 'POST', alert)
        for name in ('a1', 'a2'):
            self.inject_fault(name, fault='silence')
        for _ in range(4):
            self.assertEqual(send(router, 'POST', alert).status, 200)
