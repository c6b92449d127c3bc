"""Take one request from admission to its answer."""

import json
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve.admission import (
    AbandonedError,
    Admission,
    AdmissionError,
    NoTargetError,
    Ticket,
)
from jacinthfold.serve.answers import AnswerSink, CallerError, CutError
from jacinthfold.serve.client import Call
from jacinthfold.serve.deployment import TargetInterface
from jacinthfold.serve.guard import Guard
from jacinthfold.serve.metrics import Metrics
from jacinthfold.serve.relay import STREAM_TYPE, Attempt, Ending, Relay, Result
from jacinthfold.serve.retries import RetryBudget
from jacinthfold.serve.spill import Spill
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import ReportState, TargetView
from jacinthfold.serve.work import Work

ATTEMPT_LIMIT = 3
FULL_WORD = 'full'
QUARANTINED = 'quarantined'
END_EVENT = b'data: [DONE]\n\n'
DOWN_STATES = frozenset((ReportState.UNREACHABLE, ReportState.STOPPED))
STATE_WORDS: Mapping[str, ReportState] = {
    'leaving': ReportState.LEAVING,
    'stopped': ReportState.STOPPED,
}


class Server:
    """Serve requests: admit, try, retry, resume, or say why not."""

    def __init__(
        self,
        targets: TargetTable,
        admission: Admission,
        spill: Spill,
        relay: Relay,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        guard: Guard,
    ) -> None:
        """Take the parts that decide and the one that sends."""
        self._targets = targets
        self._admission = admission
        self._spill = spill
        self._relay = relay
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._guard = guard
        self.retries = RetryBudget(settings.routing.retry_ratio)

    def serve(
        self, work: Work, sink: AnswerSink, is_gone: Callable[[], bool]
    ) -> Result:
        """Send a whole answer to the sink.

        Raise CallerError when nothing was sent, CutError when part was.
        """
        self.retries.earn(work.organisation.name)
        run = _Run(work, sink, is_gone)
        while True:
            # Each time: since the last attempt other hosts may have seen more
            # targets end under the same request.
            self._check_quarantine(run)
            work.stage = 'queued'
            result = self._try_elsewhere(run)
            # A peer that had no room after all has not run it. That is no
            # retry: the request takes its place in the home queue.
            if result is None or result.ending == Ending.NOT_RUN:
                result = self._try_here(run)
            if result.ending == Ending.WHOLE:
                self._guard.note_served(work)
            if result.ending == Ending.WHOLE or _lacks_only_end(run, result):
                return result
            self._check_retry(run, result)
            run.note(result)

    def _check_quarantine(self, run: '_Run') -> None:
        seconds = self._guard.refused_seconds(run.work)
        if seconds is None:
            return
        if run.sink.has_started:
            raise self._cut(run, Result())
        raise CallerError(
            HTTPStatus.TOO_MANY_REQUESTS,
            'Targets ended under this request again and again; '
            'it is refused for some time.',
            QUARANTINED,
            outcome='unknown' if run.was_unknown else 'not_run',
            retry_after_seconds=seconds,
        )

    def _try_elsewhere(self, run: '_Run') -> Result | None:
        work = run.work
        if work.hops or run.has_spilled or run.delivered_events:
            return None
        wait_seconds = self._admission.expected_wait_seconds(
            work.service, work.priority
        )
        peer = self._spill.choose(work.organisation, work.service, wait_seconds)
        if peer is None:
            return None
        run.has_spilled = True
        work.stage = f'spilled to {peer.region}'
        remaining_seconds = work.deadline - self._clock.monotonic()
        call = self._spill.call(peer, work, remaining_seconds)
        result = self._send(run, call, None)
        self._metrics.spilled_requests.labels(peer.region).inc()
        logs.event(
            'request_spilled',
            request_id=work.request_id,
            region=peer.region,
            entry_host=peer.name,
            ending=result.ending.value,
        )
        if result.ending == Ending.UNKNOWN and result.headers.get('x-outcome'):
            self._pass_error_back(result)
        if result.status == HTTPStatus.TOO_MANY_REQUESTS:
            # Refused for what it did to targets: here as well.
            self._pass_error_back(result)
        return result

    def _try_here(self, run: '_Run') -> Result:
        work = run.work
        now = self._clock.monotonic()
        queue_seconds = self._admission.queue_seconds(
            work.service, work.deadline - now
        )
        ticket = Ticket(
            work.service,
            work.priority,
            min(now + queue_seconds, work.admit_by),
            work.prompt,
            run.is_gone,
        )
        ticket.excluded = run.tried
        try:
            view = self._admission.acquire(ticket)
        except AdmissionError as error:
            raise self._refusal(run, error) from error
        run.tried.add(view.target.name)
        work.stage = f'at {view.target.name}'
        began_at = self._clock.monotonic()
        try:
            return self._send_to(run, view)
        finally:
            held_seconds = self._clock.monotonic() - began_at
            self._admission.release(view, work.service, held_seconds)

    def _send_to(self, run: '_Run', view: TargetView) -> Result:
        call = self._target_call(run, view)
        fresh_bytes = run.work.prompt.fresh_bytes
        self._targets.expect_prefill(view, fresh_bytes)
        result = self._send(
            run,
            call,
            view,
            lambda: self._targets.expect_prefill(view, -fresh_bytes),
        )
        self._learn(run.work, view, result)
        logs.event(
            'attempt_ended',
            request_id=run.work.request_id,
            target=view.target.name,
            ending=result.ending.value,
            status=result.status,
            reason=result.reason,
            events=result.delivered_events,
        )
        return result

    def _send(
        self,
        run: '_Run',
        call: Call,
        view: TargetView | None,
        on_first_byte: Callable[[], None] | None = None,
    ) -> Result:
        targets = self._settings.targets
        work = run.work
        is_service = work.document is None
        silence_seconds = (
            targets.service_timeout_seconds
            if is_service
            else targets.silence_timeout_seconds
        )
        attempt = Attempt(
            call,
            work.request_id,
            is_repeatable=work.is_repeatable,
            first_byte_deadline=self._first_byte_deadline(work, view),
            silence_timeout_seconds=silence_seconds,
            write_timeout_seconds=self._settings.callers.write_timeout_seconds,
            is_given_up=lambda: self._is_given_up(run, view),
            on_first_byte=on_first_byte,
        )
        return self._relay.send(attempt, run.sink)

    def _first_byte_deadline(
        self, work: Work, view: TargetView | None
    ) -> float:
        # A connection can be open and carry nothing, while the pollers'
        # connections to the same target work. What may be repeated is tried
        # elsewhere before its deadline has passed.
        if view is None or not work.is_repeatable:
            return work.deadline
        seconds = self._settings.targets.first_byte_timeout_seconds
        return min(work.deadline, self._clock.monotonic() + seconds)

    def _is_given_up(self, run: '_Run', view: TargetView | None) -> bool:
        if run.is_gone():
            return True
        # The pollers found the target frozen or gone. What may be repeated
        # goes elsewhere now and not after the silence limit.
        return (
            view is not None
            and run.work.is_repeatable
            and view.report.state in DOWN_STATES
        )

    def _target_call(self, run: '_Run', view: TargetView) -> Call:
        work = run.work
        headers = {**work.headers, 'X-Request-Id': work.request_id}
        return Call(
            work.method,
            f'{view.target.url}{work.path}',
            headers=headers,
            body=_engine_body(run) if work.document else work.body,
            connect_timeout_seconds=(
                self._settings.targets.connect_timeout_seconds
            ),
            timeout_seconds=0,
        )

    def _learn(self, work: Work, view: TargetView, result: Result) -> None:
        if result.ending == Ending.WHOLE:
            seconds = result.first_byte_seconds
            if view.target.interface == TargetInterface.ENGINE:
                self._metrics.first_token_seconds.observe(seconds)
            self._targets.note_first_token(view, seconds)
        elif result.ending == Ending.NOT_RUN and result.headers:
            self._learn_refusal(view, result.reason)
        elif result.ending != Ending.CALLER_GONE:
            self._targets.note_failure(view)
            if result.ending in {Ending.UNKNOWN, Ending.CUT}:
                has_events = result.delivered_events > 0
                self._guard.note_broken(work, view, has_events=has_events)

    def _learn_refusal(self, view: TargetView, reason: str) -> None:
        state = STATE_WORDS.get(reason)
        if reason == FULL_WORD:
            self._targets.note_full(view)
        elif state:
            self._targets.observe(view.target.name, state)

    def _check_retry(self, run: '_Run', result: Result) -> None:
        """Return when another attempt may follow; raise otherwise."""
        work = run.work
        if result.ending == Ending.CALLER_GONE or run.is_gone():
            raise CutError('the caller has gone')
        if result.ending == Ending.CUT or run.delivered_events:
            run.delivered_events += result.delivered_events
            self._check_resume(run, result)
        may_repeat = work.is_repeatable or result.ending == Ending.NOT_RUN
        run.attempts += 1
        is_late = self._clock.monotonic() >= work.deadline
        if (
            not may_repeat
            or is_late
            or run.attempts >= ATTEMPT_LIMIT
            or not self.retries.spend(work.organisation.name)
        ):
            raise self._failure(run, result)
        self._metrics.retries.inc()

    def _check_resume(self, run: '_Run', result: Result) -> None:
        can_resume = (
            run.work.is_stream
            and not run.work.hops
            and result.headers.get('content-type', STREAM_TYPE).startswith(
                STREAM_TYPE
            )
            and any(
                view.report.resumes
                for view in self._targets.serving(run.work.service)
            )
        )
        if not can_resume or run.attempts + 1 >= ATTEMPT_LIMIT:
            raise self._cut(run, result)

    def _cut(self, run: '_Run', result: Result) -> CutError:
        self._metrics.endings.labels('cut').inc()
        # A peer that passed the request on to us resumes the stream itself; an
        # error event of ours would stand in the middle of it.
        if run.work.is_stream and not run.work.hops:
            error = CallerError(
                HTTPStatus.BAD_GATEWAY,
                'The answer was cut; what came before this is not whole.',
                'cut',
                outcome='cut',
                retry_after_seconds=1,
            )
            text = json.dumps(error.to_document())
            try:
                run.sink.end_with(f'event: error\ndata: {text}\n\n'.encode())
            except OSError:
                return CutError('the caller has gone')
        return CutError(result.reason)

    def _failure(self, run: '_Run', result: Result) -> Exception:
        if run.sink.has_started:
            return self._cut(run, result)
        if result.ending == Ending.NOT_RUN and not run.was_unknown:
            return CallerError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                f'The request was not run: {result.reason}.',
                'not_run',
                retry_after_seconds=1,
            )
        return CallerError(
            HTTPStatus.GATEWAY_TIMEOUT,
            f'It is not known whether the request ran: {result.reason}.',
            'unknown',
            outcome='unknown',
        )

    def _refusal(self, run: '_Run', error: AdmissionError) -> Exception:
        if isinstance(error, AbandonedError):
            return CutError(error.reason)
        if run.sink.has_started:
            return self._cut(run, Result())
        code = 'no_target' if isinstance(error, NoTargetError) else 'overloaded'
        self._metrics.shed_requests.labels(str(run.work.priority)).inc()
        return CallerError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'The request was not served: {error.reason}.',
            code,
            # An earlier attempt may have run; this one's refusal does not
            # take that back.
            outcome='unknown' if run.was_unknown else 'not_run',
            retry_after_seconds=error.retry_after_seconds,
        )

    def _pass_error_back(self, result: Result) -> None:
        document = json.loads(result.body)['error']
        raise CallerError(
            HTTPStatus(result.status),
            document['message'],
            document['code'],
            outcome=result.headers['x-outcome'],
            retry_after_seconds=document.get('retry_after_seconds', 0),
        )


class _Run:
    """Hold what several attempts at one request have in common."""

    __slots__ = (
        'attempts',
        'delivered_events',
        'has_spilled',
        'is_gone',
        'sink',
        'tried',
        'was_unknown',
        'work',
    )

    def __init__(
        self, work: Work, sink: AnswerSink, is_gone: Callable[[], bool]
    ) -> None:
        self.work = work
        self.sink = sink
        self.is_gone = is_gone
        self.attempts = 0
        self.delivered_events = 0
        self.has_spilled = False
        self.was_unknown = False
        self.tried: set[str] = set()

    def note(self, result: Result) -> None:
        """Remember that an attempt may have run."""
        if result.ending != Ending.NOT_RUN:
            self.was_unknown = True


def _lacks_only_end(run: _Run, result: Result) -> bool:
    """Send the end marker of a stream that was cut just before it."""
    # Resumed, such a stream would bring its last chunk a second time.
    if result.ending != Ending.CUT or not run.work.is_stream:
        return False
    if not _is_last_chunk(run.work.document or {}, result.last_events):
        return False
    run.sink.end_with(END_EVENT)
    return True


def _is_last_chunk(document: dict[str, Any], events: bytes) -> bool:
    last = events.strip().rpartition(b'data: ')[2]
    try:
        chunk = json.loads(last)
        is_finished = chunk['choices'][0]['finish_reason'] is not None
    except (LookupError, TypeError, ValueError):
        return False
    options = document.get('stream_options') or {}
    return is_finished and (
        'usage' in chunk or not options.get('include_usage')
    )


def _engine_body(run: _Run) -> bytes:
    document = dict(run.work.document or {})
    document['priority'] = run.work.priority
    if run.delivered_events:
        document['resume_after_tokens'] = run.delivered_events
    return json.dumps(document, ensure_ascii=False).encode()
