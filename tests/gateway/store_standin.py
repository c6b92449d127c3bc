"""Stand for the platform's metadata store."""

import asyncio
import base64
import collections
import copy
import json
from urllib.parse import parse_qs, urlsplit

from tests.gateway.http_server import HttpServer, Reply

HANG_CHECK_SECONDS = 0.05


class StoreStandIn(HttpServer):
    """Keep items, leases and a history; misbehave on demand."""

    def __init__(self, address):
        super().__init__(address)
        self.revision = 0
        self.items = {}
        self.history = []
        self.compacted_below = 0
        self.leases = {}
        self.is_down = False
        # The same, for faults that must not end each other.
        self.is_away = False
        self.loses_answers = False
        # Watches get no answer, other calls do.
        self.hangs_watches = False
        self.waiting_watches = 0
        # None: the header is not sent.
        self.era = None
        # Calls by path, also those that are refused.
        self.calls = collections.Counter()
        self._restore_count = 0
        self._changed = asyncio.Condition()

    def put(self, key, document):
        """Write an item as the operator or a target does."""
        self.loop_call(self.write_document, key, document)

    def write_document(self, key, document):
        """Write an item; call it in the loop."""
        content = base64.b64encode(json.dumps(document).encode()).decode()
        self._write(key, content, 0)

    def lapse(self, host_name):
        """End the leases of a host that renews them no more.

        They don't end by themselves here.
        """
        self.loop_call(self._lapse, host_name)

    def _lapse(self, host_name):
        for key, item in list(self.items.items()):
            content = base64.b64decode(item['value'])
            if item['lease'] and f'"{host_name}"'.encode() in content:
                self._erase(key)

    def remove(self, key):
        self.loop_call(self._erase, key)

    def compact(self):
        """Forget the history."""
        self.compacted_below = self.revision
        self.history.clear()

    def backup(self):
        """Return a copy of the store's state."""
        return self.loop_call(self._backup)

    def _backup(self):
        state = self.revision, self.items, self.history, self.leases
        return copy.deepcopy(state)

    def restore(self, backup):
        """Come back from a copy; all that was written since is gone."""
        self.loop_call(self.restore_now, backup)

    def restore_now(self, backup):
        """Restore a copy; call it in the loop."""
        state = copy.deepcopy(backup)
        self.revision, self.items, self.history, self.leases = state
        self.era = (self.era or 0) + 1
        self._restore_count += 1
        asyncio.get_running_loop().create_task(self._wake())

    async def reply(self, request):
        if self.is_down or self.is_away:
            return None
        era = self.era
        answer = await self._answer(request)
        if answer is not None and era is not None:
            # A watch that waited tells the era in which it was answered.
            answer.headers.append(('Store-Era', str(self.era)))
        return answer

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {
            name: found[0]
            for name, found in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        body = json.loads(request.body) if request.body else {}
        call = parts.path.removeprefix('/api/').split('/')
        self.calls[call[0]] += 1
        answer = await getattr(self, f'_{call[0].replace("-", "_")}')(
            query, body, *call[1:]
        )
        if self.loses_answers and request.method == 'POST':
            return None
        return answer

    async def _kv_range(self, query, _body):
        found = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = [self.items[key] for key in found[:3]]
        return _json(
            {
                'items': page,
                'has-more': len(found) > 3,
                'store-revision': self.revision,
            }
        )

    async def _kv_watch(self, query, _body):
        after = int(query['after'])
        if after < self.compacted_below or after > self.revision:
            return Reply(410)
        restored = self._restore_count
        self.waiting_watches += 1
        try:
            async with asyncio.timeout(int(query['wait-ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: (
                            self.revision > after
                            or self._restore_count > restored
                        )
                    )
        except TimeoutError:
            pass
        finally:
            self.waiting_watches -= 1
        while self.hangs_watches:
            await asyncio.sleep(HANG_CHECK_SECONDS)
        if after < self.compacted_below or self._restore_count > restored:
            return Reply(410)
        events = [one for one in self.history if one['revision'] > after]
        return _json({'events': events, 'store-revision': self.revision})

    async def _kv_txn(self, _query, body):
        for expected in body['expected-rev']:
            known = self.items.get(expected['key'], {'revision': 0})
            if known['revision'] != expected['revision']:
                return Reply(412)
        for put in body['puts']:
            if put['lease'] and put['lease'] not in self.leases:
                return Reply(404)
            self._write(put['key'], put['value'], put['lease'])
        return _json({'revision': self.revision})

    async def _kv_lease(self, _query, body):
        lease = max(self.leases, default=0) + 1
        self.leases[lease] = body['ttl-ms']
        return _json({'lease': lease, 'ttl-ms': body['ttl-ms']})

    async def _kv_keep(self, _query, _body, lease):
        if int(lease) not in self.leases:
            return Reply(404)
        return _json({'ttl-ms': self.leases[int(lease)]})

    async def _kv_lease_end(self, _query, _body, lease):
        self.leases.pop(int(lease), None)
        for key, item in list(self.items.items()):
            if item['lease'] == int(lease):
                self._erase(key)
        return _json({})

    def _write(self, key, content, lease):
        self.revision += 1
        item = {
            'key': key,
            'value': content,
            'revision': self.revision,
            'created': self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def _erase(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._note({'key': key, 'revision': self.revision, 'removed': True})

    def _note(self, event):
        self.history.append(event)
        asyncio.get_running_loop().create_task(self._wake())

    async def _wake(self):
        async with self._changed:
            self._changed.notify_all()


def _json(document):
    return Reply(
        200,
        [('Content-Type', 'application/json')],
        json.dumps(document).encode(),
    )
