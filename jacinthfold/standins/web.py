"""Share the small web frame of the stand-ins."""

import json
import signal
import threading
from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from jacinthfold.serve.server import (
    CONNECTION_KEY,
    Environ,
    Listener,
    ListenerSettings,
    StartResponse,
)

CROSSED_KEY = 'jacinthfold.crossed'


class Dropped(Exception):
    """Tell the frame to cut the connection with no answer."""


def json_response(document: object, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(
        json.dumps(document), status=status, content_type='application/json'
    )


class App:
    """Route calls to functions; a fault may cut the connection."""

    def __init__(self, routes: dict[str, Callable[..., Any]]) -> None:
        """Take a mapping of 'METHOD /path' to functions."""
        rules = []
        for route, function in routes.items():
            method, path = route.split(' ')
            rules.append(Rule(path, methods=[method], endpoint=function))
        self._map = Map(rules)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        request = Request(environ)
        try:
            endpoint, arguments = self._map.bind_to_environ(environ).match()
            response = endpoint(request, **arguments)
            response.headers['X-Request-Id'] = request.headers.get(
                'X-Request-Id', ''
            )
            if request.environ.get(CROSSED_KEY):
                response.headers['X-Request-Id'] = 'another'
        except HTTPException as error:
            response = error
        except Dropped:
            environ[CONNECTION_KEY].socket.shutdown(2)
            raise
        return response(environ, start_response)


def run(address: str, port: int, app: App, thread_count: int = 256) -> None:
    """Serve until SIGTERM or SIGINT."""
    settings = ListenerSettings(
        address, port, thread_count=thread_count, write_timeout_seconds=60
    )
    listener = Listener(settings, app)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    listener.start()
    stopped.wait()
    listener.stop()
