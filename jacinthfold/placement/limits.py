"""Define the constants of placement, with their units and sources."""

# Engines prefill urgent prompts first, in chunks between those in progress.
# Share of the other pending tokens that an urgent request waits for: on a
# loaded day requests with 0.44 s of tokens before them got their first event
# after 0.23 s, of which 0.08 s was their own prefill.
OTHERS_SHARE = 0.25
# Factor on the wait of ordinary requests, since urgent ones overtake them:
# 0.86 s where 0.70 s was expected on the same day.
OVERTAKEN_FACTOR = 1.2
# Delay of a first event by each request that is already running.
RUNNING_SECONDS = 0.0015
# Duration of a plain service's call until calls have been measured.
CALL_SECONDS = 0.03
# Calls that a target of another region runs at once; its slots aren't reported.
REMOTE_CONCURRENT_CALLS = 4
# Round trip between regions with the hop inside each: 2 x 55 ms.
REGION_TRIP_SECONDS = 0.12
# Share of the latency objective that an estimate may use; the remainder covers
# requests of other hosts, which are reported up to 200 ms late.
OBJECTIVE_SHARE = 0.9
# How long a removed or draining target may still be used if no other is left.
# Records that lapsed with the store come back within 2 s, and leaving targets
# serve for 3 s.
LAST_RESORT_SECONDS = 2.0
# Added to it for requests that were placed in time and wait for a connection.
LAST_SEND_SECONDS = 0.5
# Reserved for the time between the check before a send and the last byte at the
# target, on a host that is short of processor time.
SEND_MARGIN_SECONDS = 0.4
# Time from the first failure of an unreachable target to its first trial,
# doubled with each further failure in a row up to the limit. A target gets its
# share within 5 s of its last failure: half of that remains for the trials.
EJECT_SECONDS = 0.5
EJECT_LIMIT_SECONDS = 2.25
# Failures in a row after which a target is ejected although it is reachable.
FAILURES_TO_EJECT = 3
# How long a load report of another host counts; reports come every 200 ms.
REPORT_LIFETIME_SECONDS = 1.5
# Assumed wait for memory that another request must free: an answer of 385
# tokens takes 2 to 3.5 s, and one of 64 requests ends much earlier. A cautious
# estimate.
MEMORY_WAIT_SECONDS = 1.0
# Share of the memory that requests may fill: engines preempt when it runs out.
MEMORY_SHARE = 0.92
# Request rate to a cold target as a share of the rate that it tolerates. Hosts
# may disagree briefly on which one sends: two rates of 0.9 stay below the
# allowed 1.5 times the rate plus 3 requests.
COLD_PACE_SHARE = 0.9
# Added to the cold time in a target's record, which is up to 0.8 s old.
COLD_MARGIN_SECONDS = 0.3
# Requests stay with the preferred target of their prefix while its first event
# is expected within this share of the latency objective. Score of three loaded
# days on each of two deployments, one seed: 0.620 at 0.35, 0.625 at 0.75.
PREFERRED_OBJECTIVE_SHARE = 0.6
# Preferred targets that are tried before the fastest one of all is chosen.
PREFERRED_TARGETS = 2
# A target that failed more than this share of its latest requests is not
# preferred: a cache hit saves 60 ms, a failure loses the answer.
PREFERRED_FAILING_SHARE = 0.1
# Latest prompts of a route whose leading segments are counted, and the share of
# a target's requests that one leading segment may cause.
LEADING_SEGMENTS_COUNTED = 256
LEADING_SHARE = 0.5
# Start-up time of a prefix copy between targets of a region, without the time
# per token that follows from the configured bytes per token and link speed.
COPY_SECONDS = 0.012
# Links between data centres take twice as long.
COPY_ACROSS_FACTOR = 2.0
# Shorter shared prefixes are prefilled, which takes no longer than the start-up
# of a copy, and aren't reported to other hosts.
COPY_AT_LEAST_TOKENS = 2000
# Largest factor by which a target's slowness extends its wait.
MAX_SLOWNESS_FACTOR = 4.0
# A prompt with a longer prefill is relayed from a region where it waits longer
# than the second value, which is about the trip to another region.
LARGE_PREFILL_SECONDS = 0.04
OFFLOAD_WAIT_SECONDS = 0.08
