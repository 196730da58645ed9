"""
The part of HTTP/1.1 that the stand-ins need, over asyncio streams.
"""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """
    A request or an answer.

    :param start: the three words of the first line.
    :param headers: by lower-case name; the last one of a name counts.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


async def read_head(reader):
    """
    Read a first line and headers; none at the end of the channel.
    """
    line = await reader.readline()
    if not line.endswith(b'\n'):
        return None
    message = Message(line.decode('latin-1').rstrip('\r\n').split(' ', 2))
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            return None
        text = line.decode('latin-1').rstrip('\r\n')
        if not text:
            return message
        name, _, value = text.partition(':')
        message.headers[name.strip().lower()] = value.strip()


async def read_chunk(reader):
    """
    Read a chunk of a body; empty at its end.
    """
    size = int((await reader.readline()).split(b';')[0] or b'x', 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    """
    Read a body that is chunked or has a length.
    """
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        chunks = []
        while chunk := await read_chunk(reader):
            chunks.append(chunk)
        return b''.join(chunks)
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_message(reader):
    """
    Read a whole message; none at the end of the channel.
    """
    message = await read_head(reader)
    if message:
        message.body = await read_body(reader, message.headers)
    return message


def encode(first_line, headers, body=b''):
    """
    Encode a message whose body has a length.
    """
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def answer(status, headers=(), body=b''):
    """
    Encode an answer.
    """
    return encode(f'HTTP/1.1 {status} X', headers, body)


async def serve(address, handle):
    """
    Serve requests at an address, one at a time on each channel.

    :param handle: gets a request, a reader and a writer; returns whether the
        channel stays open.
    """

    async def serve_channel(reader, writer):
        try:
            while request := await read_message(reader):
                if not await handle(request, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    ip, _, port = address.rpartition(':')
    return await asyncio.start_server(serve_channel, ip, int(port))
