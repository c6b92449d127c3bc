"""Refuse requests under which targets end, at hosts run by intents."""

import hashlib
import socket
import threading
from collections.abc import Callable
from urllib.parse import urlsplit

import msgspec

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.quarantine.crashes import RUNNING_WEIGHT, Crash, SuspectReport
from jacinthfold.quarantine.fingerprints import KEY_BYTES, Fingerprints
from jacinthfold.quarantine.suspects import Suspects
from jacinthfold.serve.deployment import TargetState
from jacinthfold.serve.views import ReportState, TargetView
from jacinthfold.serve.work import Work

# Exchanges go to one neighbour each half a second and to another data centre
# at every third: told for this long, a change meets each of them many times.
NEWS_SECONDS = 10.0
# Targets keep their name when they start again, and loading a model takes
# longer than this: ends of one name so close together are one, seen by several.
SAME_END_MS = 3000
LOOK_CONNECT_SECONDS = 0.4
# A process that ends closes its connections before it stops listening. Shorter
# than loading a model takes, after which it listens again.
LOOK_AGAIN_SECONDS = 0.5
LEAVING_STATES = frozenset((ReportState.LEAVING, ReportState.STOPPED))
_MS = 1000

_words_decoder = msgspec.msgpack.Decoder(list[SuspectReport])


class Guard:
    """Know what ended targets; any thread may ask."""

    def __init__(self, secret: str, clock: Clock) -> None:
        """Take the secret that all entry hosts share."""
        self._clock = clock
        self._guard = threading.Lock()
        self._suspects = Suspects(clock, NEWS_SECONDS)
        self._fingerprints = Fingerprints()
        self._fingerprints.set_key(
            hashlib.blake2b(secret.encode(), digest_size=KEY_BYTES).digest()
        )
        # Called when there is something to tell the other hosts soon.
        self.on_end: Callable[[], None] = _tell_nobody
        # Calls something after some seconds, in another thread.
        self.later: Callable[[float, Callable[[], None]], None] = _later

    def refused_seconds(self, work: Work) -> float | None:
        """Return for how long a request is refused, None if it isn't."""
        with self._guard:
            if not self._suspects:
                return None
            fingerprint = self._fingerprint(work)
            return self._suspects.refused_seconds(fingerprint)

    def refused(self) -> dict[str, int]:
        """Return the refused ones and how many targets ended under each."""
        with self._guard:
            return self._suspects.refused()

    def note_served(self, work: Work) -> None:
        """Take that a target answered a request and outlived it."""
        with self._guard:
            if self._suspects:
                self._suspects.record_served(self._fingerprint(work))

    def note_broken(
        self, work: Work, view: TargetView, *, has_events: bool
    ) -> None:
        """Take that an attempt broke off; see whether its target has ended."""
        if _is_leaving(view):
            return
        if not _listens(view.target.url):
            self._note_end(work, view, has_events=has_events)
            return
        self.later(
            LOOK_AGAIN_SECONDS,
            lambda: self._look_again(work, view, has_events=has_events),
        )

    def news(self) -> bytes:
        """Return what other hosts are to hear."""
        with self._guard:
            words = self._suspects.reports_to_send(is_near=False, is_full=True)
            self._suspects.expire_if_due()
        return msgspec.msgpack.encode(words) if words else b''

    def take(self, content: bytes) -> None:
        """Take what another host tells; raise ValueError."""
        if not content:
            return
        words = _words_decoder.decode(content)
        with self._guard:
            for word in words:
                self._take_one(word)

    def _look_again(
        self, work: Work, view: TargetView, *, has_events: bool
    ) -> None:
        if not _is_leaving(view) and not _listens(view.target.url):
            self._note_end(work, view, has_events=has_events)

    def _note_end(
        self, work: Work, view: TargetView, *, has_events: bool
    ) -> None:
        name = view.target.name
        fingerprint = self._fingerprint(work)
        logs.warning(
            'target_ended',
            target=name,
            request_id=work.request_id,
            fingerprint=fingerprint,
            events=has_events,
        )
        at_ms = round(self._clock.now().timestamp() * _MS)
        # Admission sends no more than a target has places for: whatever is
        # there has begun.
        end = Crash(f'{name}@{at_ms}', RUNNING_WEIGHT, not has_events, at_ms)
        with self._guard:
            if self._is_new(fingerprint, end):
                self._suspects.record_crash(fingerprint, end)
        self.on_end()

    def _take_one(self, word: SuspectReport) -> None:
        self._suspects.merge_reports(
            [SuspectReport(word.fingerprint, word.served_at_ms, [])],
            is_near=False,
        )
        for end in word.crashes:
            if self._is_new(word.fingerprint, end):
                self._suspects.merge_reports(
                    [SuspectReport(word.fingerprint, 0, [end])], is_near=False
                )

    def _is_new(self, fingerprint: str, end: Crash) -> bool:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return True
        name = _name_of(end)
        return not any(
            _name_of(known) == name
            and abs(known.at_ms - end.at_ms) < SAME_END_MS
            for known in suspect.crashes.values()
        )

    def _fingerprint(self, work: Work) -> str:
        return self._fingerprints.of_parts(
            work.method.encode(),
            work.organisation.name.encode(),
            work.path.encode(),
            work.body,
        )


def _name_of(end: Crash) -> str:
    return end.incarnation_id.rpartition('@')[0]


def _is_leaving(view: TargetView) -> bool:
    return (
        view.target.state is not TargetState.ACTIVE
        or view.is_listed_leaving
        or view.report.state in LEAVING_STATES
    )


def _listens(url: str) -> bool:
    parts = urlsplit(url)
    place = (parts.hostname or '', parts.port or 80)
    try:
        socket.create_connection(place, LOOK_CONNECT_SECONDS).close()
    except ConnectionRefusedError:
        return False
    except OSError as error:
        # Nobody says that nothing listens: the network may be cut.
        logs.warning('target_not_looked_at', url=url, reason=repr(error))
    return True


def _later(seconds: float, call: Callable[[], None]) -> None:
    timer = threading.Timer(seconds, call)
    timer.daemon = True
    timer.start()


def _tell_nobody() -> None:
    """Have nobody to tell."""
