"""Stand in for the platform: key-value service, host list, weight store."""

import base64
import json
import threading
import time
import uuid

from werkzeug.wrappers import Request, Response

from jacinthfold.standins.web import App, Dropped, json_response

RATE_WINDOW_SECONDS = 1


class Platform:
    """Keep keys, leases and host entries in memory, with faults."""

    def __init__(self, writes_per_second: int, reads_per_second: int) -> None:
        """Start empty, with the rates that the platform allows."""
        self.changed = threading.Condition()
        self.entries: dict[str, dict] = {}
        self.leases: dict[str, list] = {}
        self.hosts: dict[str, dict] = {}
        self.index = 1
        self.faults: dict[str, float] = {}
        self.rates = {'read': reads_per_second, 'write': writes_per_second}
        self.window = (0.0, {'read': 0, 'write': 0})
        self.counts = {'read': 0, 'write': 0, 'watch': 0, 'refused': 0}

    def app(self) -> App:
        """Return the web application."""
        return App(
            {
                'GET /v1/kv/<path:key>': self.read,
                'PUT /v1/kv/<path:key>': self.write,
                'PUT /v1/session/create': self.create_session,
                'PUT /v1/session/renew/<lease_id>': self.renew_session,
                'GET /v1/catalog/hosts': self.list_hosts,
                'PUT /v1/catalog/hosts/<name>': self.put_host,
                'GET /weights/<path:name>': self.weights,
                'GET /faults': lambda request: json_response(self.faults),
                'PUT /faults': self.set_faults,
                'GET /counts': lambda request: json_response(self.counts),
            }
        )

    def set_faults(self, request: Request) -> Response:
        """Replace the faults: out, slow_seconds, lose_answers, stale_hosts."""
        self.faults = json.loads(request.get_data())
        if self.faults.get('stale_hosts') and 'frozen' not in self.__dict__:
            self.frozen = json.loads(json.dumps(self.hosts))
        if not self.faults.get('stale_hosts'):
            self.__dict__.pop('frozen', None)
        return json_response(self.faults)

    def enter(self, kind: str) -> Response | None:
        """Count a call and apply the faults that precede it."""
        if self.faults.get('out'):
            raise Dropped
        time.sleep(self.faults.get('slow_seconds', 0))
        with self.changed:
            now = time.monotonic()
            if now - self.window[0] > RATE_WINDOW_SECONDS:
                self.window = (now, {'read': 0, 'write': 0})
            self.window[1][kind] += 1
            self.counts[kind] += 1
            if self.window[1][kind] > self.rates[kind]:
                self.counts['refused'] += 1
                return json_response('rate', 429)
        return None

    def leave(self) -> None:
        """Lose the answer of an applied write where the fault is set."""
        losses = self.faults.get('lose_answers', 0)
        if losses:
            self.faults['lose_answers'] = losses - 1
            raise Dropped

    def read(self, request: Request, key: str) -> Response:
        """Return a key at once, or wait for its change."""
        refusal = self.enter('read')
        if refusal:
            return refusal
        index = int(request.args.get('index', 0))
        wait_seconds = float(request.args.get('wait', '0s').rstrip('s'))
        deadline = time.monotonic() + wait_seconds
        with self.changed:
            self.counts['watch'] += 1 if wait_seconds else 0
            while wait_seconds and self._index_of(key) <= index:
                remaining = deadline - time.monotonic()
                if remaining <= 0 or self.faults.get('out'):
                    break
                self.changed.wait(min(remaining, 0.5))
            self._expire()
            entry = self.entries.get(key)
            if entry is None:
                return json_response('absent', 404)
            document = [dict(entry, Key=key)]
        if self.faults.get('out'):
            raise Dropped
        return json_response(document)

    def write(self, request: Request, key: str) -> Response:
        """Write with compare-and-swap, or lock under a lease."""
        refusal = self.enter('write')
        if refusal:
            return refusal
        body = base64.b64encode(request.get_data()).decode()
        with self.changed:
            self._expire()
            applied = self._apply(request, key, body)
        self.leave()
        return json_response(applied)

    def _apply(self, request: Request, key: str, body: str) -> bool:
        held = self.entries.get(key, {}).get('Session', '')
        lease_id = request.args.get('acquire', '')
        if lease_id:
            if lease_id not in self.leases or held not in {'', lease_id}:
                return False
        elif int(request.args.get('cas', 0)) != self._index_of(key):
            return False
        self.index += 1
        self.entries[key] = {
            'ModifyIndex': self.index,
            'Value': body,
            'Session': lease_id or held,
        }
        self.changed.notify_all()
        return True

    def create_session(self, request: Request) -> Response:
        """Grant a lease."""
        refusal = self.enter('write')
        if refusal:
            return refusal
        document = json.loads(request.get_data())
        seconds = float(document['TTL'].rstrip('s'))
        delete = document.get('Behavior') == 'delete'
        lease_id = str(uuid.uuid4())
        with self.changed:
            self.leases[lease_id] = [
                seconds,
                time.monotonic() + seconds,
                delete,
            ]
        self.leave()
        return json_response({'ID': lease_id})

    def renew_session(self, request: Request, lease_id: str) -> Response:
        """Extend a lease that has not lapsed."""
        refusal = self.enter('write')
        if refusal:
            return refusal
        with self.changed:
            self._expire()
            if lease_id not in self.leases:
                return json_response('lapsed', 404)
            lease = self.leases[lease_id]
            lease[1] = time.monotonic() + lease[0]
        self.leave()
        return json_response([{'ID': lease_id}])

    def list_hosts(self, request: Request) -> Response:
        """Return the hosts, as they were when the list went stale."""
        refusal = self.enter('read')
        hosts = self.__dict__.get('frozen', self.hosts)
        return refusal or json_response(list(hosts.values()))

    def put_host(self, request: Request, name: str) -> Response:
        """Put a host on the list (the platform's own act)."""
        self.hosts[name] = dict(json.loads(request.get_data()), name=name)
        return json_response(True)

    def weights(self, request: Request, name: str) -> Response:
        """Return a model's weights, a few bytes of them."""
        return self.enter('read') or Response(f'weights of {name}')

    def _index_of(self, key: str) -> int:
        entry = self.entries.get(key)
        return entry['ModifyIndex'] if entry else 0

    def _expire(self) -> None:
        now = time.monotonic()
        lapsed = {name for name, lease in self.leases.items() if lease[1] < now}
        if not lapsed:
            return
        deleting = {name for name in lapsed if self.leases.pop(name)[2]}
        for key, entry in list(self.entries.items()):
            if entry['Session'] in deleting:
                self.entries.pop(key)
            elif entry['Session'] in lapsed:
                entry['Session'] = ''
