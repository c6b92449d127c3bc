"""Safeguards of keys, their revocation, and caps."""

from tools.ablations.model import Ablation

KEYS = 'tests/gateway/test_organisations.py::'
FRESH = 'tests/gateway/test_freshness.py::'
QUOTA = 'tests/gateway/test_quota.py::'
SMALL = 'tests/gateway/test_small_caps.py::'
ORDER = 'tests/gateway/test_permit_order.py::'
WINDOWS = QUOTA + 'test_no_window_exceeds_its_limit'

ORGANISATIONS = [
    Ablation(
        'keys: no key is forwarded to a target',
        [
            (
                'gateway/request_handlers.py',
                'parsed.headers = self._dialect.without_credentials(parsed.headers)',
                'pass',
            )
        ],
        KEYS + 'test_target_receives_the_organisation_and_never_the_key',
    ),
    Ablation(
        'keys: two keys in one request are rejected',
        [
            (
                'organisations/credentials.py',
                'if len(credentials) != 1:',
                'if not credentials:',
            )
        ],
        KEYS + 'test_digest_needs_exactly_one_bearer_key',
    ),
    Ablation(
        'keys: a key belongs to one organisation',
        [
            (
                'organisations/model.py',
                'if holder is not organisation:',
                'if False:',
            )
        ],
        KEYS + 'test_invalid_configuration_changes_nothing',
    ),
    Ablation(
        'residency: the home regions of the organisation apply too',
        [
            (
                'request/messages.py',
                'return homes & own if homes and own else homes or own',
                'return homes',
            )
        ],
        KEYS + 'test_home_regions_of_route_and_organisation_both_apply',
    ),
    Ablation(
        'ranks: route priorities order the requests of equal organisations',
        [
            (
                'request/messages.py',
                'organisation.priority * PRIORITIES_PER_ORGANISATION + within',
                'organisation.priority',
            )
        ],
        KEYS + 'test_route_priority_ranks_requests_of_equal_organisations',
    ),
    Ablation(
        'revocation: no key is served past the limit',
        [
            (
                'proxy/key_gate.py',
                'return self.age_seconds <= self._bound_seconds - AGE_MARGIN_SECONDS',
                'return True',
            )
        ],
        FRESH + 'test_host_without_the_store_serves_no_key_past_the_bound',
    ),
    Ablation(
        'revocation: keys are checked again before each send',
        [
            (
                'proxy/key_gate.py',
                'return None if is_same else KeyRejection.REVOKED',
                'return None',
            )
        ],
        FRESH + 'test_request_whose_key_is_revoked_while_waiting_is_not_sent',
    ),
    Ablation(
        'revocation: the age of a proof counts from the request',
        [
            (
                'fleet/freshness_exchange.py',
                'self._freshness.record_revision(sent_at - age_seconds, proof[1])',
                'self._freshness.record_revision(self._clock.boottime() - age_seconds, proof[1])',
            )
        ],
        FRESH + 'test_proof_age_includes_delivery_delay',
    ),
    Ablation(
        'revocation: receipts of an earlier incarnation are ignored',
        [
            (
                'fleet/freshness_exchange.py',
                'if proof is None or receipt is None or receipt[0] != self._incarnation:',
                'if proof is None or receipt is None:',
            )
        ],
        FRESH + 'test_receipt_of_an_earlier_incarnation_is_ignored',
    ),
    Ablation(
        'revocation: a newer store revision proves nothing yet',
        [
            (
                'catalogue/freshness.py',
                'if revision > self._known_revision:',
                'if False:',
            )
        ],
        FRESH + 'test_store_that_is_ahead_proves_nothing_until_that_is_known',
    ),
    Ablation(
        'revocation: an idle store is queried',
        [
            (
                'catalogue/freshness_checker.py',
                'if not self.is_needed or self._catalogue.routes is None:',
                'if True:',
            )
        ],
        FRESH + 'test_idle_store_is_queried_and_keys_stay_valid',
    ),
    Ablation(
        'caps: the share of a silent pool is not leased again',
        [
            (
                'quota/issuer.py',
                'return max(0.0, _FULL_SHARE - others)',
                'return _FULL_SHARE',
            )
        ],
        QUOTA + 'test_share_of_a_silent_pool_is_not_leased_before_it_expires',
    ),
    Ablation(
        'caps: a new issuer waits until it knows all holders',
        [
            (
                'quota/issuer.py',
                'if now < self._recovered_at:\n            # Other pools',
                'if False:\n            # Other pools',
            )
        ],
        QUOTA + 'test_new_issuer_leases_nothing_that_may_be_held',
    ),
    Ablation(
        'caps: only the response to the latest request counts',
        [
            (
                'quota/share.py',
                'if number != self._request_number or now < self._requested_at:',
                'if False:',
            )
        ],
        QUOTA + 'test_late_response_to_an_earlier_request_is_ignored',
    ),
    Ablation(
        'caps: a share expires by itself',
        [
            (
                'quota/pool.py',
                'if self._bucket.refilled_at < share.expires_at <= now:',
                'if False:',
            )
        ],
        QUOTA + 'test_tokens_expire_with_the_share',
    ),
    Ablation(
        'caps: no window exceeds its limit, whatever is lost',
        [
            (
                'quota/issuer.py',
                'share = min(\n            self._fair_share(holder, now),\n            self._available_share(holder, held, now),\n        )',
                'share = self._fair_share(holder, now) * 2',
            )
        ],
        WINDOWS,
    ),
    Ablation(
        'caps: one pool serves a small cap in all regions',
        [
            (
                'quota/permits.py',
                'regions = self._hosts.regions() if is_shared else {own.region}',
                'regions = {own.region}',
            )
        ],
        SMALL + 'test_calls_below_a_small_cap_are_served',
    ),
    Ablation(
        'caps: the buckets of a small cap hold a call',
        [
            (
                'quota/bounds.py',
                'max(burst_budget * BURST_FRACTION, call_cost * MIN_BURST_CALLS)',
                'burst_budget * BURST_FRACTION',
            )
        ],
        SMALL + 'test_calls_below_a_small_cap_are_served',
    ),
    Ablation(
        'caps: the buckets of a small cap fit its window',
        [
            (
                'quota/bounds.py',
                'self.burst = min(\n            burst_budget,',
                'self.burst = min(\n            window_limit,',
            )
        ],
        SMALL + 'test_burst_of_one_call_fits_the_window',
    ),
    Ablation(
        'caps: a lost message does not start a second pool of a small cap',
        [
            (
                'quota/permits.py',
                'repeated = order[:1] if is_shared else []',
                'repeated = []',
            )
        ],
        SMALL + 'test_lost_permit_request_does_not_divide_a_small_cap',
    ),
    Ablation(
        'caps: the permit is acquired before the target is chosen',
        [
            (
                'proxy/admitted_placement.py',
                '        if not await self._admission.is_permitted(request, progress):\n            return None\n        return self._placer.choose(\n            request, progress.tried, progress.tried_regions\n        )\n',
                '        choice = self._placer.choose(\n            request, progress.tried, progress.tried_regions\n        )\n        if not await self._admission.is_permitted(request, progress):\n            return None\n        return choice\n',
            ),
        ],
        ORDER
        + 'test_requests_that_wait_for_permits_don_t_overload_a_cold_engine',
    ),
    Ablation(
        'cold engines: hosts that have just started send at a lower rate',
        [('placement/pace.py', 'share *= UNSETTLED_SHARE', 'share *= 1')],
        'tests/gateway/test_placement.py::test_cold_engine_is_safe_when_a_region_starts_again_at_once',
    ),
]
