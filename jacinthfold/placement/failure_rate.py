"""Hold how often a target fails, and decide when it returns to use.

Addresses targets that fail for seconds and then serve again. The share of
failures decays with time, since a target that gets no requests has no answers
that could lower it. A target that failed repeatedly is ejected: it gets trial
requests only, and returns after several were answered. The hosts of a region
report trials and returns to each other, so that one trial serves all of them.
"""

from enum import IntEnum

from jacinthfold.placement import limits

# Weight of the newest answer in the share of failures.
FAILURE_WEIGHT = 0.25
# Half-life of the share of failures: after two failures a target is as good as
# others to within the jitter of load data 5 s later.
HALF_LIFE_SECONDS = 1.5
# A target that failed more than this share of its latest requests is ejected
# although it didn't fail several times in a row.
EJECT_SHARE = 0.5
# Share of failures of a target that failed at another host, until this host has
# an answer of its own.
HEARD_SHARE = 0.8
# Trials in a row that must be answered before a target returns. A target that
# fails half of its requests passes one round of trials in four.
TRIALS_TO_RETURN = 2
# A trial without an answer for this long is followed by another one.
TRIAL_TIMEOUT_SECONDS = 2.5
# How long events are reported to other hosts, and count when heard.
EVENT_LIFETIME_SECONDS = 5.0
# A report of a return must be newer than the own latest failure by more than
# the transit time of a report, or it may be of an earlier return.
REPORT_MARGIN_SECONDS = 0.1
MAX_ROUND = 1_000_000
NEVER = float('-inf')

# Shorter backoffs that a target requests are left to each host: the targets are
# busy and not failing, and a turn in the trials takes longer.
MIN_TRIED_BACKOFF_SECONDS = 1.0

# Age in milliseconds of the latest event, round of trials, number of the event.
TrialReport = tuple[int, int, int]


class TrialEvent(IntEnum):
    """Number the events that hosts report to each other."""

    FAILED = 0
    TRIED = 1
    RETURNED = 2


class FailureRate:
    """Hold the failures of one incarnation of a target at this host."""

    __slots__ = (
        '_answered_trials',
        '_counted_sent_at',
        '_event',
        '_event_at',
        '_has_cut_answers',
        '_is_returned_by_report',
        '_returned_at',
        '_served_at',
        '_share',
        '_share_at',
        '_trial_sent_at',
        'failures_in_row',
        'heard_at',
        '_report_received_at',
        'is_ejected',
        'last_failed_at',
        'next_trial_at',
        'round',
    )

    def __init__(self) -> None:
        """Start with a target that never failed."""
        self._share = 0.0
        self._share_at = 0.0
        self.failures_in_row = 0
        self.is_ejected = False
        # When the latest request that failed was sent.
        self.last_failed_at = NEVER
        # When a request of another host failed, by its latest report.
        self.heard_at = NEVER
        self._report_received_at = NEVER
        self.next_trial_at = 0.0
        # Number of the round of trials, the largest that any host reported.
        self.round = 0
        self._answered_trials = 0
        self._trial_sent_at = NEVER
        # When the request was sent whose first event counted as an answer.
        self._counted_sent_at = NEVER
        # Whether answers were cut after their first event.
        self._has_cut_answers = False
        # When the latest request that was served was sent.
        self._served_at = NEVER
        self._returned_at = NEVER
        self._is_returned_by_report = False
        # What this host last saw of the target, and when the request was sent
        # that showed it.
        self._event = TrialEvent.RETURNED
        self._event_at = NEVER

    def share(self, now: float) -> float:
        """Return the share of failures, which decays with time."""
        own = self._own_share(now)
        # An answer of its own tells a host more than another host's failure.
        if self.heard_at <= self._served_at:
            return own
        return max(own, HEARD_SHARE * _decay(now - self._report_received_at))

    def record_success(self, sent_at: float, now: float) -> bool:
        """Count an answer; tell whether the target returns to use."""
        # The answer to a request from before the latest failure doesn't show
        # that the target serves again.
        if self.is_ejected and sent_at < self.last_failed_at:
            return False
        self._served_at = max(self._served_at, sent_at)
        self.failures_in_row = 0
        self._set_share(self._own_share(now) * (1 - FAILURE_WEIGHT), now)
        self._is_returned_by_report = False
        if not self.is_ejected or sent_at == self._counted_sent_at:
            return False
        return self._count_answered_trial(now)

    def record_first_event(self, sent_at: float, now: float) -> bool:
        """Count a stream's first event; tell whether the target returns."""
        # A stream may take longer than a target may wait for its return.
        is_later = sent_at >= self.last_failed_at
        if not self.is_ejected or not is_later or self._has_cut_answers:
            return False
        self._counted_sent_at = sent_at
        return self._count_answered_trial(now)

    def record_failure(
        self,
        sent_at: float,
        now: float,
        *,
        is_unreachable: bool,
        is_cut: bool = False,
    ) -> bool:
        """Count a failure; tell whether the target is ejected now."""
        # A request that was sent before the return and timed out after it says
        # nothing about the target since.
        if sent_at < self._returned_at:
            return False
        self.failures_in_row += 1
        share = self._own_share(now)
        self._set_share(share + FAILURE_WEIGHT * (1 - share), now)
        self._record_event(TrialEvent.FAILED, sent_at)
        self._has_cut_answers |= is_cut
        if self.is_ejected or self._must_eject(now, is_unreachable):
            doublings = min(self.failures_in_row - 1, 3)
            seconds = min(
                limits.EJECT_SECONDS * 2**doublings, limits.EJECT_LIMIT_SECONDS
            )
            return self._eject(now, seconds)
        return False

    def record_backoff(self, seconds: float, now: float) -> None:
        """Try the target after the backoff that it requested."""
        # Otherwise each host would send it a request after each backoff.
        if seconds >= MIN_TRIED_BACKOFF_SECONDS:
            self._record_event(TrialEvent.FAILED, now)
            self._eject(now, seconds)

    def record_trial(self, now: float) -> None:
        """Record that a trial request is sent."""
        self._trial_sent_at = now
        self._record_event(TrialEvent.TRIED, now)

    def may_try(self, now: float, delay_seconds: float) -> bool:
        """Tell whether a trial may be sent, this long after it is due."""
        if now < self._trial_sent_at + TRIAL_TIMEOUT_SECONDS:
            return False
        # The trials of a round follow each other at the same host.
        if self._answered_trials:
            return True
        return now >= self.next_trial_at + delay_seconds

    def own_report(self, now: float) -> TrialReport | None:
        """Return this host's latest event, None if there is no recent one."""
        age_seconds = now - self._event_at
        if age_seconds >= EVENT_LIFETIME_SECONDS:
            return None
        age_ms = round(age_seconds * 1000)
        return (age_ms, self.round, self._event)

    def apply_report(
        self, event: int, event_at: float, reported_round: int, now: float
    ) -> bool:
        """Apply another host's event; tell whether it changes the state."""
        self.round = max(self.round, reported_round)
        if event == TrialEvent.RETURNED:
            return self._apply_return(event_at)
        if self.is_ejected:
            # One host's trial serves all.
            self.next_trial_at = max(
                self.next_trial_at, event_at + limits.EJECT_LIMIT_SECONDS
            )
        if event == TrialEvent.FAILED:
            return self._apply_failure(event_at, now)
        return False

    def _apply_failure(self, event_at: float, now: float) -> bool:
        # Each event is reported several times.
        known_at = max(self._served_at, self.heard_at)
        if event_at <= known_at + REPORT_MARGIN_SECONDS:
            return False
        self.heard_at = event_at
        self._report_received_at = now
        if self.is_ejected:
            return False
        # A return that only another host saw is taken back with its reason.
        # Otherwise the target may serve this host: others are only preferred.
        if self._is_returned_by_report or self._is_confirmed(now):
            return self._eject(event_at, limits.EJECT_LIMIT_SECONDS)
        return False

    def _count_answered_trial(self, now: float) -> bool:
        self._trial_sent_at = NEVER
        self._answered_trials += 1
        if self._answered_trials < TRIALS_TO_RETURN:
            return False
        self._return(now)
        self._record_event(TrialEvent.RETURNED, now)
        return True

    def _apply_return(self, event_at: float) -> bool:
        failed_at = max(self.last_failed_at, self._served_at)
        if event_at <= failed_at + REPORT_MARGIN_SECONDS:
            return False
        was_ejected = self.is_ejected
        self._return(event_at)
        self._is_returned_by_report = was_ejected
        return was_ejected

    def _must_eject(self, now: float, is_unreachable: bool) -> bool:
        if is_unreachable or self.failures_in_row >= limits.FAILURES_TO_EJECT:
            return True
        return self._share > EJECT_SHARE or self._is_confirmed(now)

    def _is_confirmed(self, now: float) -> bool:
        """Tell whether this and another host saw failures and no answer."""
        # With 60 hosts that each needed several failures to eject a target,
        # callers would lose hundreds of requests.
        earlier = min(self.heard_at, self.last_failed_at)
        is_recent = now - earlier < EVENT_LIFETIME_SECONDS
        return is_recent and earlier > self._served_at

    def _eject(self, now: float, seconds: float) -> bool:
        was_ejected = self.is_ejected
        self.is_ejected = True
        self.next_trial_at = now + seconds
        self._trial_sent_at = NEVER
        self.round = min(MAX_ROUND, self.round + 1)
        return not was_ejected

    def _return(self, now: float) -> None:
        self.is_ejected = False
        self.failures_in_row = 0
        self._answered_trials = 0
        self._returned_at = now
        self._has_cut_answers = False
        self._served_at = max(self._served_at, now)
        self._set_share(0.0, now)

    def _record_event(self, event: TrialEvent, sent_at: float) -> None:
        self._event = event
        self._event_at = max(self._event_at, sent_at)
        if event is TrialEvent.FAILED:
            self.last_failed_at = max(self.last_failed_at, sent_at)
            self._answered_trials = 0

    def _own_share(self, now: float) -> float:
        if not self._share:
            return 0.0
        return self._share * _decay(now - self._share_at)

    def _set_share(self, share: float, now: float) -> None:
        self._share = share
        self._share_at = now


def _decay(elapsed_seconds: float) -> float:
    return 0.5 ** (max(0.0, elapsed_seconds) / HALF_LIFE_SECONDS)
