"""Send many streams at a steady pace, with little processor time.

For measuring the relay alone: one event each `interval` to every stream.
"""

import asyncio
import json
import sys
import time

EVENT = (
    'data: {"id":"x","object":"chat.completion.chunk","model":"m","choices":'
    '[{"index":0,"delta":{"content":"word-%017.6f "}}]}\n\n'
)
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def chunk(payload: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(payload), payload)


async def read_request(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    length = 0
    for line in head.split('\r\n'):
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            length = int(value)
    return head, await reader.readexactly(length)


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, status: bytes
) -> None:
    try:
        while True:
            head, body = await read_request(reader)
            if head.startswith('GET'):
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%b' % (len(status), status)
                )
                continue
            document = json.loads(body)
            await stream(writer, document['max_tokens'], document['interval'])
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def stream(
    writer: asyncio.StreamWriter, count: int, interval: float
) -> None:
    loop = asyncio.get_running_loop()
    writer.write(HEAD)
    due = loop.time()
    for _ in range(count):
        writer.write(chunk((EVENT % time.monotonic()).encode()))
        due += interval
        await asyncio.sleep(max(0, due - loop.time()))
    writer.write(chunk(b'data: [DONE]\n\n') + b'0\r\n\r\n')
    await writer.drain()


async def main(port: int, region: str, data_centre: str) -> None:
    status = json.dumps({
        'state': 'active', 'region': region, 'data_centre': data_centre,
        'running': 0, 'waiting': 0, 'slots': 4096, 'models': ['m'],
    }).encode()  # fmt: skip
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, status),
        '127.0.0.1',
        port,
        backlog=2048,
    )
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], sys.argv[3]))
