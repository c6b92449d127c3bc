"""Know the targets of the own region: state, load and health."""

import threading
from collections.abc import Callable, Iterable
from statistics import median

from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve.deployment import Deployment
from jacinthfold.serve.routing import Candidate
from jacinthfold.serve.views import ReportState, TargetReport, TargetView

MILLISECONDS = 1000
REPORT_LIFETIME_SECONDS = 10
REPORT_NEWS_SECONDS = 3
REPORT_REPEAT_SECONDS = 6
REPORT_LOAD_STEP = 0.125
LATENCY_MEMORY = 0.2
LATENCY_HALF_LIFE_SECONDS = 10
SLOW_RATIO = 2
LIMIT_DECREASE = 0.7
LIMIT_INCREASE = 0.02
LEAST_LIMIT_SHARE = 0.25
FIRST_RAMP_SHARE = 0.25


class TargetTable:
    """Keep a view of each target of the own region."""

    def __init__(self, region: str, settings: Settings, clock: Clock) -> None:
        """Start with no target."""
        self._region = region
        self._routing = settings.routing
        self._clock = clock
        self._guard = threading.RLock()
        self._views: dict[str, TargetView] = {}
        self._deployment = Deployment()
        self.on_urgent: Callable[[], None] = _do_nothing
        self.on_room: Callable[[], None] = _do_nothing

    def follow(self, deployment: Deployment) -> None:
        """Take the targets that are in force."""
        now = self._clock.monotonic()
        with self._guard:
            self._deployment = deployment
            wanted = {
                name: target
                for name, target in deployment.targets.items()
                if target.region == self._region
            }
            for name in self._views.keys() - wanted.keys():
                self._views.pop(name)
            for name, target in wanted.items():
                view = self._views.setdefault(name, TargetView(target, now))
                if view.target.url != target.url:
                    self._views[name] = TargetView(target, now)
                view.target = target
        self.on_room()

    def views(self) -> list[TargetView]:
        """Return all views."""
        with self._guard:
            return list(self._views.values())

    def find(self, name: str) -> TargetView | None:
        """Return a target's view."""
        return self._views.get(name)

    def reports_for(
        self, region: str, *, all_of_them: bool
    ) -> list[TargetReport]:
        """Return the reports that a peer in a region needs to hear."""
        if region != self._region:
            return []
        # Every report in every message would be most of a node's traffic. A
        # report is passed on while it is news; a full exchange now and then
        # mends what a lost message left out.
        age_seconds = (
            REPORT_LIFETIME_SECONDS if all_of_them else REPORT_NEWS_SECONDS
        )
        since = self._clock.monotonic() - age_seconds
        return [
            view.report
            for view in self.views()
            if view.report.version and view.heard_at(all_of_them) > since
        ]

    def note_reading(self, report: TargetReport) -> None:
        """Take in an own reading; it is news only when it says something."""
        now = self._clock.monotonic()
        view = self._views.get(report.name)
        if view is None:
            return
        old = view.report
        is_steady = (
            old.version > 0
            and old.state == report.state
            and old.models == report.models
            and now - view.news_at < REPORT_REPEAT_SECONDS
            and abs(old.running - report.running)
            < report.slots * REPORT_LOAD_STEP
        )
        if not is_steady:
            self.merge([report])
            return
        with self._guard:
            report.version = old.version
            self._take(view, report, now)
        self.on_room()

    def merge(self, reports: Iterable[TargetReport]) -> None:
        """Take in reports; older ones change nothing."""
        urgent = False
        now = self._clock.monotonic()
        with self._guard:
            for report in reports:
                view = self._views.get(report.name)
                if view and self._is_news(view, report, now):
                    view.news_at = now
                    urgent |= self._take(view, report, now)
        self.on_room()
        if urgent:
            self.on_urgent()

    def observe(self, name: str, state: ReportState) -> None:
        """Note a state that a target's own answer has shown."""
        view = self._views.get(name)
        if view is None or view.report.state == state:
            return
        old = view.report
        self.merge(
            [
                TargetReport(
                    name,
                    max(self.version(), old.version + 1),
                    state,
                    running=old.running,
                    waiting=old.waiting,
                    slots=old.slots,
                    models=old.models,
                    resumes=old.resumes,
                )
            ]
        )

    def version(self) -> int:
        """Return a version for a reading made now."""
        return int(self._clock.now().timestamp() * MILLISECONDS)

    def list_leaving(self, names: set[str]) -> None:
        """Note which targets the platform lists as leaving."""
        for view in self.views():
            view.is_listed_leaving = view.target.name in names

    def serving(self, service: str) -> list[TargetView]:
        """Return views of targets that may get new work of a service."""
        return [
            view
            for view in self.views()
            if service in view.target.serves
            and view.takes_work
            and _has_loaded(view, service)
        ]

    def candidates(self, service: str) -> list[Candidate]:
        """Return what routing may choose from."""
        now = self._clock.monotonic()
        views = self.serving(service)
        # Nobody in reach has read a target for long when a data centre of
        # the region is cut off; those that somebody reads go first.
        oldest = now - REPORT_LIFETIME_SECONDS
        healthy = [
            view
            for view in views
            if view.broken_until <= now and view.received_at > oldest
        ]
        # When every target fails, taking all of them out would empty the
        # region for a fault that may lie elsewhere: then all stay in.
        chosen = healthy or views
        if not chosen:
            return []
        usual = median(view.first_token_seconds for view in chosen)
        return [self._candidate(view, now, usual) for view in chosen]

    def reserve(self, name: str) -> None:
        """Count a request towards a target."""
        with self._guard:
            view = self._views[name]
            view.in_flight += 1
            view.own_peak = max(view.own_peak, view.in_flight)

    def expect_prefill(self, view: TargetView, length_bytes: int) -> None:
        """Count prompt bytes that a target has to read, or (negative) has."""
        with self._guard:
            view.pending_bytes += length_bytes

    def release(self, view: TargetView) -> None:
        """Count a request off a target, which may be gone from the table."""
        with self._guard:
            view.in_flight -= 1
        self.on_room()

    def note_first_token(self, view: TargetView, seconds: float) -> None:
        """Learn from the time to a first token."""
        now = self._clock.monotonic()
        with self._guard:
            view.failure_count = 0
            view.limit_share = min(1.0, view.limit_share + LIMIT_INCREASE)
            step = (seconds - view.first_token_seconds) * LATENCY_MEMORY
            view.first_token_seconds += step
            view.latency_at = now

    def note_full(self, view: TargetView) -> None:
        """Learn from a refusal for lack of room: send it less for a while."""
        # Several hosts may each think that the last place is theirs. The
        # target's own word counts for more than any report.
        with self._guard:
            view.limit_share = max(
                LEAST_LIMIT_SHARE, view.limit_share * LIMIT_DECREASE
            )

    def note_failure(self, view: TargetView) -> None:
        """Learn from a failure; several in a row take the target out."""
        now = self._clock.monotonic()
        with self._guard:
            view.failure_count += 1
            if view.failure_count >= self._routing.breaker_failures:
                view.broken_until = now + self._routing.breaker_seconds
                view.returned_at = view.broken_until

    def free_slots(self) -> dict[str, int]:
        """Return the free places of the region by service."""
        free: dict[str, int] = {}
        for view in self.views():
            if not view.takes_work:
                continue
            for service in view.target.serves:
                room = max(0, view.slots - view.load)
                free[service] = free.get(service, 0) + room
        return free

    def _is_news(
        self, view: TargetView, report: TargetReport, now: float
    ) -> bool:
        # Versions are wall-clock readings of different hosts. After a clock
        # has jumped, a report that nobody renews must not block for ever.
        is_expired = now - view.received_at > REPORT_LIFETIME_SECONDS
        return report.version > view.report.version or is_expired

    def _take(self, view: TargetView, report: TargetReport, now: float) -> bool:
        old_state = view.report.state
        if report.state == ReportState.ACTIVE and old_state != report.state:
            view.returned_at = now
            view.failure_count = 0
            view.broken_until = now
        view.report = report
        view.received_at = now
        view.own_peak_before = view.own_peak
        view.own_peak = view.in_flight
        return report.state != old_state

    def _latency(self, view: TargetView, now: float, usual: float) -> float:
        # Small differences say nothing of a target, and would starve all but
        # the fastest; only one far over the usual counts as slow. It gets
        # little work then and few measurements, so its figure drifts back
        # until it is tried again.
        share = 0.5 ** ((now - view.latency_at) / LATENCY_HALF_LIFE_SECONDS)
        latency = usual + (view.first_token_seconds - usual) * share
        return latency if latency > usual * SLOW_RATIO else usual

    def _candidate(
        self, view: TargetView, now: float, usual: float
    ) -> Candidate:
        ramp = 1.0
        if self._routing.ramp_seconds:
            share = (now - view.returned_at) / self._routing.ramp_seconds
            ramp = min(1.0, max(FIRST_RAMP_SHARE, share))
        slots = view.slots * self._routing.slot_overcommit
        return Candidate(
            view.target.name,
            load=view.load,
            slots=view.slots,
            capacity=max(1.0, slots * ramp * view.limit_share),
            first_token_seconds=self._latency(view, now, usual),
            pending_bytes=view.pending_bytes,
        )


def _has_loaded(view: TargetView, service: str) -> bool:
    models = view.report.models
    return not models or service in models


def _do_nothing() -> None:
    """Stand for a listener that nobody has set."""
