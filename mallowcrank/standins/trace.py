"""
The trace of engines and services: one JSON object per line.
"""

import json
import threading
from pathlib import Path

from mallowcrank.clock import Clock
from mallowcrank.ports import Step
from mallowcrank.standins.kv import ExportedKv
from mallowcrank.standins.settings import TargetSettings


class Trace:
    """
    Writes the trace of one target, flushing after each line.

    :param incarnation: differs between starts of the target.
    """

    def __init__(
        self, settings: TargetSettings, incarnation: int, clock: Clock
    ) -> None:
        self._target = settings.standin.name
        self._incarnation = incarnation
        self._clock = clock
        self._lock = threading.Lock()
        self._file = (
            Path(settings.trace_path).open('a', encoding='utf-8')
            if settings.trace_path
            else None
        )

    def record(self, event: str, **fields: object) -> None:
        """
        Write a line, if the target has a trace file.

        :param event: kind of the event.
        :param fields: further fields of the line.
        """
        if self._file is None:
            return
        with self._lock:
            line = json.dumps(
                {
                    'event': event,
                    'time': self._clock.now(),
                    'target': self._target,
                    'incarnation': self._incarnation,
                    **fields,
                }
            )
            self._file.write(f'{line}\n')
            self._file.flush()

    def record_step(
        self, step: Step, outputs: tuple[int, ...], state: str
    ) -> None:
        """
        Write a line for an executed step.

        :param state: name of the KV state.
        """
        self.record(
            'step',
            request=step.stream,
            stream=step.stream,
            attempt=step.attempt,
            token=step.token,
            count=step.count,
            first_layer=step.first_layer,
            last_layer=step.last_layer,
            state=state,
            input=str(step.inputs[-1]),
            output=str(outputs[-1]),
        )

    def record_import(
        self, stream: str, attempt: int, state: str, exported: ExportedKv
    ) -> None:
        """
        Write a line for an imported KV state.

        :param state: name of the KV state that received the layers.
        """
        layers = [layer for layer, _ in exported.counts]
        self.record(
            'import',
            request=stream,
            stream=stream,
            attempt=attempt,
            token=0,
            count=exported.counts[0][1],
            first_layer=min(layers),
            last_layer=max(layers),
            state=state,
            parent=exported.state,
        )
