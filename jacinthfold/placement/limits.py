"""Name the figures that placement goes by, with their units and sources."""

# Engines read urgent prompts before others, in chunks between what is already
# being read. Share of the other unread tokens that an urgent request waits
# for: on a loaded day requests with 0.44 s of all tokens before them got their
# first event after 0.23 s, 0.08 s of it their own.
OTHERS_SHARE = 0.25
# What others wait beyond the tokens before them, since urgent ones overtake:
# 0.86 s where 0.70 s was expected on the same day.
OVERTAKEN_FACTOR = 1.2
# What each request already running adds to the first event of another.
RUNNING_SECONDS = 0.0015
# What a plain service's call takes until its own pace has been measured.
CALL_SECONDS = 0.03
# Calls that a target of another region, whose slots aren't told, runs at once.
REMOTE_CONCURRENT_CALLS = 4
# There and back between regions, plus the hop inside each: 2 x 55 ms.
REGION_TRIP_SECONDS = 0.12
# Share of the aim that a placement may be expected to use; the rest covers
# what other hosts sent meanwhile, which is heard of up to 200 ms late.
AIM_SHARE = 0.9
# A removed or draining target may be the only one left, and entries that
# lapsed with the store come back within 2 s; targets serve on for 3 s.
LAST_RESORT_SECONDS = 2.0
# A request that was chosen until then may still wait for its connection.
LAST_SEND_SECONDS = 0.5
# A target that no connection reaches is left alone this long at first, and
# up to the limit after repeated failures.
EJECT_SECONDS = 0.5
EJECT_LIMIT_SECONDS = 4.0
FAILURES_TO_EJECT = 3
# A load report of another host counts this long; reports come every 200 ms.
REPORT_LIFETIME_SECONDS = 1.5
# What a request waits for memory that another one must free: an answer of 385
# tokens takes 2 to 3.5 s, and of 64 one ends long before. A guess on the late
# side, not measured.
MEMORY_WAIT_SECONDS = 1.0
# Memory that requests may fill: engines preempt when it runs out.
MEMORY_SHARE = 0.92
# Pace of a cold target against what it tolerates. Its hosts may disagree for
# a moment on who paces it: two paces of 0.9 stay below the bound of 1.5
# times plus 3.
COLD_PACE_SHARE = 0.9
# Added to what a target says of its coldness: its record is up to 0.8 s old.
COLD_MARGIN_SECONDS = 0.3
# Requests stay with the target that keeps their shared parts while its first
# event is expected within this share of the aim. Worth of three loaded days on
# each of two deployments, one seed: 0.620 at 0.35, 0.625 at 0.75.
PREFERRED_AIM_SHARE = 0.6
# Targets in that order that are asked before the soonest of all is taken.
PREFERRED_TARGETS = 2
# A target that failed a tenth of its latest requests keeps nothing: a cache
# hit saves 60 ms, a failure costs the answer.
PREFERRED_FAILING_SHARE = 0.1
# Prompts of a route whose leading parts are counted, and the share of a
# target's requests that one leading part may bring.
LEADING_SEGMENTS_COUNTED = 256
LEADING_SHARE = 0.5
# Copying shared parts between targets of a region: the time to begin, beside
# the bytes that the operator declares for a token and a link.
COPY_SECONDS = 0.012
# Links between data centres take twice as long.
COPY_ACROSS_FACTOR = 2.0
# Fewer shared tokens than these are read: they take no longer than the begin
# of a copy, and are not worth telling other hosts of.
COPY_AT_LEAST_TOKENS = 2000
# How far a target's slowness stretches its wait.
MAX_SLOWNESS_FACTOR = 4.0
# A prompt that takes this long to read leaves a region whose targets make it
# wait longer than the second figure, about as long as the trip to another one.
LARGE_PREFILL_SECONDS = 0.04
OFFLOAD_WAIT_SECONDS = 0.08
