"""
A stand-in of a replica of a plain service, as a process of its own.

It writes a line to its log for each request that it begins to run.
"""

import argparse
import asyncio
import json
import os
import time

import http1

NOT_EXECUTED = ('Mallowcrank-Not-Executed', '1')
QUEUE = 24


class Replica:
    """
    Runs requests in a limited number of slots, and queues a few more.
    """

    def __init__(self, options):
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._waiting = 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._log = os.open(options.log, flags, 0o644)

    async def handle(self, request, reader, writer):
        method, target, _ = request.start
        headers = request.headers
        identity = self._options.identity
        request_id = headers.get('mallowcrank-request-id', '')
        echoed = [('Mallowcrank-Request-Id', request_id)] if request_id else []
        if target == '/health':
            writer.write(
                http1.answer(200, [('Mallowcrank-Instance-Id', identity)])
            )
            return True
        expected = headers.get('mallowcrank-expect-instance', identity)
        if expected != identity:
            writer.write(http1.answer(421, [*echoed, NOT_EXECUTED]))
            return True
        if not request_id:
            writer.write(http1.answer(400, [NOT_EXECUTED]))
            return True
        if self._waiting >= QUEUE:
            writer.write(http1.answer(503, [*echoed, NOT_EXECUTED]))
            return True
        left_s = float(headers.get('mallowcrank-deadline-ms', 30_000)) / 1000
        return await self._run(request, echoed, left_s, reader, writer)

    async def _run(self, request, echoed, left_s, reader, writer):
        until = time.monotonic() + left_s
        self._waiting += 1
        try:
            await asyncio.wait_for(self._slots.acquire(), left_s)
        except TimeoutError:
            writer.write(http1.answer(503, [*echoed, NOT_EXECUTED]))
            return True
        finally:
            self._waiting -= 1
        try:
            return await self._work(request, echoed, until, reader, writer)
        finally:
            self._slots.release()

    async def _work(self, request, echoed, until, reader, writer):
        method, target, _ = request.start
        request_id = echoed[0][1]
        line = {
            'at': round(time.monotonic(), 4),
            'replica': self._options.identity,
            'ran': request_id,
            'method': method,
            'target': target,
        }
        os.write(self._log, json.dumps(line).encode() + b'\n')
        work_s = self._options.work_ms / 1000
        left_s = until - time.monotonic()
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait(
            (closed,), timeout=max(0, min(work_s, left_s))
        )
        if done:
            return False  # the caller has left; the work is dropped
        closed.cancel()
        await asyncio.wait((closed,))
        seal = ('Mallowcrank-Response-Seal', f'{self._options.identity}.1')
        if left_s < work_s:
            writer.write(http1.answer(504, [*echoed, seal]))
            return True
        body = json.dumps({'done': request_id}).encode()
        writer.write(http1.answer(200, [*echoed, seal], body))
        return True


async def main():
    """
    Serve until killed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', required=True)
    parser.add_argument('--identity', required=True)
    parser.add_argument('--work-ms', type=float, required=True)
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--log', required=True)
    options = parser.parse_args()
    server = await http1.serve(options.address, Replica(options).handle)
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
