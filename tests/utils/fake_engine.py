"""
In-process model engine with configurable faults.
"""

import threading
from dataclasses import replace

import msgpack

from mallowcrank.codec import from_plain, to_plain
from mallowcrank.ports import Step, StepResult
from mallowcrank.view import Target, TargetKind
from mallowcrank.web import Response, Routes, WebServer, json_response

LAYERS = 6
LETTERS = 26
FIRST_LETTER = 97
MODULUS = 1 << 32
MAX_SILENCE_S = 20


def run_layer(sums, layer, hidden):
    """
    Run one token through one layer; `sums` is the KV state of the layers.
    """
    sums[layer] = (sums.get(layer, 0) * 33 + hidden + 1) % MODULUS
    return (hidden * 31 + sums[layer] + layer) % MODULUS


def expected_answer(prompt, count):
    """
    Return the answer if each layer runs once for each token, in order.
    """
    sums, answer, hidden = {}, [], 0
    tokens = list(prompt)
    for _ in range(count):
        for token in tokens:
            hidden = token
            for layer in range(LAYERS):
                hidden = run_layer(sums, layer, hidden)
        answer.append(FIRST_LETTER + hidden % LETTERS)
        tokens = answer[-1:]
    return bytes(answer).decode()


class FakeEngine:
    """
    Engine with a range of layers.

    It answers the next `silent_after` steps and leaves later calls without an
    answer, or only one call if `recovers` is set; `runs_when_silent` says
    whether their steps run.
    """

    def __init__(self, name, first, last):
        self.name = name
        self.first = first
        self.last = last
        self.states = {}
        self.ran = []
        self.cancelled = {}
        self.batches = []
        self.silent_after = None
        self.refuse = None
        self.runs_when_silent = False
        self.is_dead = False
        self.recovers = True
        self.step_ms = 1
        self._lock = threading.Lock()
        self._released = threading.Event()
        routes = Routes()
        routes.add('POST', '/steps', self._steps)
        routes.add('POST', '/cancel', self._cancel)
        routes.add('POST', '/export', self._export)
        routes.add('POST', '/import', self._import)
        self.server = WebServer('127.0.0.1:0', routes, threads=12)
        self.server.start()

    @property
    def target(self):
        return Target(
            name=self.name,
            kind=TargetKind.ENGINE,
            address=self.server.address,
            availability_zone='a',
            serves='m',
            incarnation=1,
            first_layer=self.first,
            last_layer=self.last,
            step_ms=self.step_ms,
        )

    def stop(self):
        self._released.set()
        threading.Thread(target=self.server.stop, daemon=True).start()

    def _steps(self, request):
        steps = msgpack.unpackb(request.body)['steps']
        steps = [from_plain(step, Step) for step in steps]
        if self.is_dead:
            return json_response({}, 500)
        silent = self._is_silent(len(steps))
        if silent and not self.runs_when_silent:
            self._released.wait(MAX_SILENCE_S)
        with self._lock:
            self.batches.append(len(steps))
            answers = [self._run(step) for step in steps]
        if silent:
            self._released.wait(MAX_SILENCE_S)
        return Response(200, msgpack.packb({'results': to_plain(answers)}))

    def _is_silent(self, count):
        if self.silent_after is None:
            return False
        self.silent_after -= count
        if self.silent_after >= 0:
            return False
        if self.recovers:
            self.silent_after = None
        return True

    def _run(self, step):
        blank = StepResult(
            step.stream,
            step.attempt,
            step.token,
            step.first_layer,
            step.last_layer,
        )
        refused = self.refuse or self._find_refusal(step)
        if refused:
            return replace(blank, refused=refused)
        sums, counts = self.states.setdefault(
            (step.stream, step.attempt), ({}, {})
        )
        outputs = []
        for hidden in step.inputs:
            for layer in range(step.first_layer, step.last_layer + 1):
                hidden = run_layer(sums, layer, hidden)
                counts[layer] = counts.get(layer, 0) + 1
            outputs.append(hidden)
        self.ran.append(step)
        if step.last_layer == LAYERS - 1:
            outputs = [FIRST_LETTER + outputs[-1] % LETTERS]
        return replace(blank, outputs=tuple(outputs))

    def _find_refusal(self, step):
        if step.attempt <= self.cancelled.get(step.stream, 0):
            return 'cancelled'
        _, counts = self.states.get((step.stream, step.attempt), ({}, {}))
        if not counts and step.token:
            return 'there is no such state'
        token_count = counts.get(step.first_layer, 0)
        if token_count >= step.token + step.count:
            return 'repeated'
        return '' if token_count == step.token else 'the state holds others'

    def _cancel(self, request):
        for stream, attempt in msgpack.unpackb(request.body)['streams']:
            self.cancelled[stream] = attempt
            for key in list(self.states):
                if key[0] == stream and key[1] <= attempt:
                    self.states.pop(key)
        return json_response({})

    def _export(self, request):
        payload = msgpack.unpackb(request.body)
        state = self.states[payload['stream'], payload['attempt']]
        return Response(200, msgpack.packb(state))

    def _import(self, request):
        payload = msgpack.unpackb(request.body)
        state = msgpack.unpackb(payload['exported'], strict_map_key=False)
        self.states[payload['stream'], payload['attempt']] = tuple(state)
        return json_response({})
