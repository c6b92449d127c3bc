"""Read many streams and print the times between their parts as JSON.

The gap between two tokens is what the caller sees. The lag is the time from
the target's writing of a token (stamped in it) to its arrival here.
"""

import asyncio
import json
import sys
import time

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000


async def one(
    place: tuple[str, int], body: bytes, delay: float, out: dict
) -> None:
    await asyncio.sleep(delay)
    reader, writer = await asyncio.open_connection(*place, limit=1 << 20)
    asked_at = time.monotonic()
    writer.write(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
        b'Authorization: Bearer key-bench\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    )
    last = 0.0
    try:
        while True:
            line = await reader.readline()
            now = time.monotonic()
            if not line:
                out['cut'] += 1
                break
            if line.startswith(b'HTTP/1.1') and b' 200 ' not in line:
                out['refused'] += 1
                break
            if line.startswith(b'data: [DONE]'):
                out['whole'] += 1
                break
            if not line.startswith(b'data: {'):
                continue
            stamp = float(line.split(b'word-')[1][:17])
            out['lag'].record_value(int((now - stamp) * MICROSECONDS))
            if last:
                out['gap'].record_value(int((now - last) * MICROSECONDS))
            else:
                out['first'].record_value(int((now - asked_at) * MICROSECONDS))
            last = now
            out['chunks'] += 1
    except OSError:
        out['cut'] += 1
    writer.close()


def summary(histogram: HdrHistogram) -> dict:
    return {
        f'p{point:g}_milliseconds': histogram.get_value_at_percentile(point)
        / 1000
        for point in (50, 95, 99)
    }


async def main(
    address: str, port: int, streams: int, tokens: int, interval: float
) -> None:
    names = ('gap', 'lag', 'first')
    out: dict = {name: HdrHistogram(1, 60 * MICROSECONDS, 3) for name in names}
    out |= {'chunks': 0, 'whole': 0, 'cut': 0, 'refused': 0}
    body = json.dumps({
        'model': 'm', 'stream': True, 'max_tokens': tokens,
        'interval': interval, 'messages': [{'role': 'user', 'content': 'x'}],
    }).encode()  # fmt: skip
    spread = max(interval, streams * 0.004)
    await asyncio.gather(
        *(
            one((address, port), body, spread * number / streams, out)
            for number in range(streams)
        )
    )
    for name in names:
        out[name] = summary(out[name])
    print(json.dumps(out))


if __name__ == '__main__':
    asyncio.run(
        main(
            sys.argv[1],
            int(sys.argv[2]),
            int(sys.argv[3]),
            int(sys.argv[4]),
            float(sys.argv[5]),
        )
    )
