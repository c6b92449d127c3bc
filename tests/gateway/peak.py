"""Replay a region's peak: many hosts, late reports, engines with caches."""

import random
from collections import OrderedDict

from jacinthfold.placement.decision import SendTo
from jacinthfold.placement.target import Load
from jacinthfold.request.messages import PrefixSegment
from tests.fakes import FakeClock

# Data sheet of an engine, and a region's peak as it was recorded.
PREFILL_TOKENS_PER_SECOND = 81900
CACHE_TOKENS = 300000
HOSTS = 22
ENGINES = 15
PER_SECOND = 60
SHARED_SEGMENTS = 319
SYSTEM_TOKENS, SHARED_SEGMENT_TOKENS, OWN_TOKENS = 512, 4870, 6610
REPORT_EVERY_SECONDS = 0.4
LATE_SECONDS = 0.9


class Engine:
    """Prefill prompts one after the other and cache the latest segments."""

    def __init__(self):
        self.free_at = 0.0
        self.cache = OrderedDict()

    def cached_tokens(self, segments):
        tokens, name = 0, ''
        for segment in segments:
            name += f'/{segment.name}'
            if name not in self.cache:
                break
            tokens += segment.tokens
        return tokens

    def prefill(self, segments, reused_tokens, now):
        """Return when the prompt will have been prefilled."""
        name = ''
        for segment in segments:
            name += f'/{segment.name}'
            self.cache[name] = segment.tokens
            self.cache.move_to_end(name)
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        tokens = sum(segment.tokens for segment in segments) - reused_tokens
        begins_at = max(now, self.free_at)
        self.free_at = begins_at + tokens / PREFILL_TOKENS_PER_SECOND
        return self.free_at


class Peak:
    """Replay requests of many hosts to the same engines."""

    def __init__(self, make_scene, seed):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.scenes = [make_scene(f'h{n}', self.clock) for n in range(HOSTS)]
        self.engines = {f'i-{n}': Engine() for n in range(ENGINES)}
        for scene in self.scenes:
            for instance in self.engines:
                scene.add(instance)
        self.prefilling = []
        self.shared_tokens = 0
        self.reused_tokens = 0
        self.rejected = 0
        self.waits = []

    def run(self, seconds):
        reported_at = self.clock.monotonic()
        for number in range(int(seconds * PER_SECOND)):
            self.clock.advance(self.random.expovariate(PER_SECOND))
            now = self.clock.monotonic()
            self._finish(now)
            if now - reported_at > REPORT_EVERY_SECONDS:
                reported_at = now
                self._report(now)
            self._place(number, now)

    def reused_share(self):
        """Return the share of the shared tokens that were cached."""
        return self.reused_tokens / self.shared_tokens

    def late_share(self):
        """Return the share of requests that were late or rejected."""
        late = sum(wait > LATE_SECONDS for wait in self.waits)
        return (late + self.rejected) / (len(self.waits) + self.rejected)

    def _place(self, number, now):
        scene = self.random.choice(self.scenes)
        request = scene.request(
            SYSTEM_TOKENS + SHARED_SEGMENT_TOKENS + OWN_TOKENS
        )
        shared_segment = self.random.randrange(SHARED_SEGMENTS)
        segments = (
            PrefixSegment(f'system-{shared_segment % 3}', SYSTEM_TOKENS),
            PrefixSegment(f'subject-{shared_segment}', SHARED_SEGMENT_TOKENS),
            PrefixSegment(f'own-{number}', OWN_TOKENS),
        )
        request.facts.prefix_segments = segments
        choice = scene.choose(request)
        if not isinstance(choice, SendTo):
            self.rejected += 1
            return
        scene.placer.record_sent(choice, request)
        target = choice.estimate.target
        engine = self.engines[target.record.instance]
        cached = engine.cached_tokens(segments)
        if choice.estimate.copy_source is not None:
            source_instance = choice.estimate.copy_source.record.instance
            cached = max(
                cached, self.engines[source_instance].cached_tokens(segments)
            )
        ends_at = engine.prefill(segments, cached, now)
        pending = request.facts.prompt_tokens - choice.estimate.cached_tokens
        target.own.add(Load(1, pending, request.facts.prompt_tokens))
        self.prefilling.append((ends_at, target, pending))
        self.shared_tokens += SYSTEM_TOKENS + SHARED_SEGMENT_TOKENS
        self.reused_tokens += cached
        self.waits.append(ends_at - now)

    def _finish(self, now):
        for entry in [one for one in self.prefilling if one[0] <= now]:
            self.prefilling.remove(entry)
            _, target, pending = entry
            target.own.add(Load(-1, -pending, -pending))

    def _report(self, now):
        for number, scene in enumerate(self.scenes):
            loads = {}
            for instance, load in scene.targets.own_loads().items():
                loads[instance] = Load()
                loads[instance].add(load)
            prefilled_tokens = scene.targets.own_prefilled_tokens()
            uses = scene.targets.recent_uses.by_incarnation(now)
            for other in self.scenes:
                if other is not scene:
                    other.targets.update_loads(f'h{number}', loads, now)
                    other.targets.update_cached_prefixes(
                        f'h{number}', prefilled_tokens, uses
                    )
