"""Stand in for a plain service: quotes may be repeated, orders may not."""

import json
import threading
import time
from pathlib import Path

from werkzeug.wrappers import Request, Response

from jacinthfold.standins.web import App, Dropped, json_response


class Service:
    """Answer quotes and orders, and count every execution."""

    def __init__(
        self,
        name: str,
        region: str,
        data_centre: str,
        journal: Path | None = None,
    ) -> None:
        """Start with the orders of the journal, which outlives a kill."""
        self.journal = journal
        self.name = name
        self.place = {'region': region, 'data_centre': data_centre}
        self.guard = threading.Lock()
        self.executions: list = []
        if journal and journal.exists():
            lines = journal.read_text(encoding='utf-8').splitlines()
            self.executions = [json.loads(line) for line in lines]
        self.orders: list = []
        self.running = 0
        self.state = 'active'
        self.faults: dict = {}

    def app(self) -> App:
        """Return the web application."""
        return App(
            {
                'GET /desk/quotes/<part>': self.quote,
                'POST /desk/orders': self.order,
                'GET /desk/orders': lambda request: json_response(self.orders),
                'PUT /desk/echo': self.echo,
                'GET /status': self.status,
                'PUT /state/<state>': self.set_state,
                'GET /executions': lambda request: json_response(
                    self.executions
                ),
                'PUT /faults': self.set_faults,
            }
        )

    def status(self, request: Request) -> Response:
        """Return state and load."""
        return json_response(
            self.place
            | {
                'name': self.name,
                'state': self.state,
                'running': self.running,
                'waiting': 0,
                'slots': 64,
                'models': [],
            }
        )

    def set_state(self, request: Request, state: str) -> Response:
        """Begin to leave, or return."""
        self.state = state
        return json_response(state)

    def set_faults(self, request: Request) -> Response:
        """Replace the faults."""
        self.faults = json.loads(request.get_data())
        return json_response(self.faults)

    def quote(self, request: Request, part: str) -> Response:
        """Return a price; a repeat does no harm."""
        self._run(request)
        return json_response({'part': part, 'price': 100, 'by': self.name})

    def echo(self, request: Request) -> Response:
        """Return the body as it came."""
        return Response(
            request.get_data(), content_type='application/octet-stream'
        )

    def order(self, request: Request) -> Response:
        """Ship one unit; a repeat ships a second one."""
        if self.faults.get('refuse') or self.state != 'active':
            response = json_response({'error': 'not taken'}, 503)
            response.headers['X-Not-Run'] = 'true'
            response.headers['X-Engine-State'] = self.state
            return response
        if self.faults.get('drop_before'):
            raise Dropped
        number = self._run(request)
        if self.faults.get('drop_after'):
            raise Dropped
        return json_response({'order': number, 'by': self.name}, 201)

    def _note(self, execution: list) -> None:
        self.executions.append(execution)
        if self.journal:
            with self.journal.open('a', encoding='utf-8') as lines:
                lines.write(f'{json.dumps(execution)}\n')

    def _run(self, request: Request) -> int:
        body = request.get_data().decode()
        with self.guard:
            self.running += 1
            self._note(
                [request.headers.get('X-Request-Id', ''), request.method, body]
            )
            if request.method == 'POST':
                self.orders.append(body)
            number = len(self.executions)
        time.sleep(self.faults.get('delay_seconds', 0))
        with self.guard:
            self.running -= 1
        return number
