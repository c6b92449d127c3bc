"""Send requests at set times and judge every answer; open loop, seeded.

Times count from when a request was due, not from when it was sent, so that a
stall is charged to all the requests that it held up.
"""

import asyncio
import json
import random
import time
from collections import Counter, defaultdict
from typing import Any
from urllib.parse import urlsplit

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LONGEST_SECONDS = 30
RETRY_LIMIT = 2
# A first token later than this is of no use; callers say so with the request.
FIRST_LIMITS = {'interactive': 1.2, 'bulk': 8.0}


class Request:
    """Hold one request that falls due."""

    def __init__(
        self, due: float, organisation: str, kind: str, document: dict[str, Any]
    ) -> None:
        self.first_limit_seconds = FIRST_LIMITS[kind]
        self.due = due
        self.organisation = organisation
        self.kind = kind
        self.document = document


class Outcome:
    """Hold how one request went."""

    def __init__(self, request: Request) -> None:
        self.kind = request.kind
        self.due = request.due
        self.first_seconds = 0.0
        self.total_seconds = 0.0
        self.tokens = 0
        self.ending = 'lost'
        self.gaps: list[float] = []


async def send(
    request: Request, urls: list[str], began: float, outcome: Outcome
) -> None:
    delay = began + request.due - time.monotonic()
    await asyncio.sleep(max(0, delay))
    for url in urls[: RETRY_LIMIT + 1]:
        try:
            outcome.ending = await asyncio.wait_for(
                attempt(request, url, began, outcome), LONGEST_SECONDS
            )
        except (OSError, asyncio.IncompleteReadError):
            outcome.ending = 'cut' if outcome.tokens else 'unreachable'
        except TimeoutError:
            outcome.ending = 'timeout'
        if outcome.ending not in {'unreachable', 'not_run'}:
            break
    outcome.total_seconds = time.monotonic() - began - request.due


async def attempt(
    request: Request, url: str, began: float, outcome: Outcome
) -> str:
    place = urlsplit(url)
    body = json.dumps(request.document).encode()
    reader, writer = await asyncio.open_connection(
        place.hostname, place.port, limit=1 << 20
    )
    try:
        writer.write(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
            b'Authorization: Bearer key-%b\r\n'
            b'X-Request-Timeout-Seconds: %.1f\r\n'
            b'Content-Length: %d\r\n\r\n%b'
            % (
                request.organisation.encode(),
                request.first_limit_seconds,
                len(body),
                body,
            )
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        if ' 200 ' not in head.split('\r\n')[0]:
            return 'not_run' if 'x-not-run' in head.lower() else 'refused'
        return await read_stream(request, reader, began, outcome)
    finally:
        writer.close()


async def read_stream(
    request: Request,
    reader: asyncio.StreamReader,
    began: float,
    outcome: Outcome,
) -> str:
    last = 0.0
    while True:
        line = await reader.readline()
        now = time.monotonic()
        if not line:
            return 'cut'
        if line.startswith(b'data: [DONE]'):
            whole = outcome.tokens == request.document['max_tokens']
            return 'whole' if whole else 'wrong'
        if not line.startswith(b'data: {"id"'):
            continue
        text = json.loads(line[6:])['choices'][0]['delta'].get('content')
        if not text:
            continue
        if int(text.strip().rpartition('-')[2]) != outcome.tokens:
            return 'wrong'
        if outcome.tokens:
            outcome.gaps.append(now - last)
        else:
            outcome.first_seconds = now - began - request.due
        outcome.tokens += 1
        last = now


async def run_all(
    requests: list[Request], urls: dict[str, list[str]], began: float
) -> list[Outcome]:
    outcomes = [Outcome(request) for request in requests]
    await asyncio.gather(
        *(
            send(
                request,
                urls[request.organisation],
                began,
                outcome,
            )
            for request, outcome in (zip(requests, outcomes, strict=True))
        )
    )
    return outcomes


def summary(
    outcomes: list[Outcome], seconds: float, first_limit: dict[str, float]
) -> dict[str, Any]:
    """Return counts, goodput within the limits, and percentiles."""
    first = defaultdict(lambda: HdrHistogram(1, 120 * MICROSECONDS, 3))
    gaps = HdrHistogram(1, 120 * MICROSECONDS, 3)
    endings: Counter[str] = Counter()
    good: Counter[str] = Counter()
    totals: Counter[str] = Counter()
    for one in outcomes:
        endings[one.ending] += 1
        totals[one.kind] += 1
        if one.tokens:
            value = max(1, int(one.first_seconds * MICROSECONDS))
            first[one.kind].record_value(value)
        for gap in one.gaps:
            gaps.record_value(max(1, int(gap * MICROSECONDS)))
        if one.ending == 'whole' and one.first_seconds <= first_limit[one.kind]:
            good[one.kind] += 1
    row: dict[str, Any] = {
        'requests': len(outcomes),
        'goodput_per_second': sum(good.values()) / seconds,
        'gap_p95_ms': gaps.get_value_at_percentile(95) / 1000,
    }
    for kind in sorted(totals):
        row[f'{kind}_good_share'] = good[kind] / totals[kind]
        for point in (50, 95, 99):
            value = first[kind].get_value_at_percentile(point) / MICROSECONDS
            row[f'{kind}_first_p{point}_s'] = round(value, 4)
    return row | {f'ended_{name}': count for name, count in endings.items()}


def poisson(source: random.Random, rate: float, seconds: float) -> list[float]:
    """Return random times at a mean rate."""
    times, now = [], 0.0
    while rate > 0:
        now += source.expovariate(rate)
        if now >= seconds:
            break
        times.append(now)
    return times
