"""Replay a region's peak: many hosts, lagging reports, engines with caches."""

import random
from collections import OrderedDict

from jacinthfold.placement.decision import SendTo
from jacinthfold.placement.target import Load
from jacinthfold.request.messages import PrefixSegment
from tests.fakes import FakeClock

# What the sheets say of an engine, and a region's peak as it was recorded.
READ_TOKENS_PER_SECOND = 81900
CACHE_TOKENS = 300000
HOSTS = 22
ENGINES = 15
PER_SECOND = 60
SUBJECTS = 319
SYSTEM_TOKENS, SUBJECT_TOKENS, OWN_TOKENS = 512, 4870, 6610
REPORT_EVERY_SECONDS = 0.4
LATE_SECONDS = 0.9


class Engine:
    """Read prompts one after the other and keep the latest parts."""

    def __init__(self):
        self.free_at = 0.0
        self.cache = OrderedDict()

    def kept(self, parts):
        tokens, name = 0, ''
        for part in parts:
            name += f'/{part.name}'
            if name not in self.cache:
                break
            tokens += part.tokens
        return tokens

    def read(self, parts, kept_tokens, now):
        """Return when the prompt has been read."""
        name = ''
        for part in parts:
            name += f'/{part.name}'
            self.cache[name] = part.tokens
            self.cache.move_to_end(name)
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        tokens = sum(part.tokens for part in parts) - kept_tokens
        begins_at = max(now, self.free_at)
        self.free_at = begins_at + tokens / READ_TOKENS_PER_SECOND
        return self.free_at


class Peak:
    """Hold hosts that place reviews on the same engines."""

    def __init__(self, make_scene, seed):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.scenes = [make_scene(f'h{n}', self.clock) for n in range(HOSTS)]
        self.engines = {f'i-{n}': Engine() for n in range(ENGINES)}
        for scene in self.scenes:
            for instance in self.engines:
                scene.add(instance)
        self.reading = []
        self.asked_tokens = 0
        self.kept_tokens = 0
        self.refused = 0
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

    def kept_share(self):
        """Return which share of the shared tokens was not read again."""
        return self.kept_tokens / self.asked_tokens

    def late_share(self):
        """Return which share was read too late for the aim, or refused."""
        late = sum(wait > LATE_SECONDS for wait in self.waits)
        return (late + self.refused) / (len(self.waits) + self.refused)

    def _place(self, number, now):
        scene = self.random.choice(self.scenes)
        request = scene.request(SYSTEM_TOKENS + SUBJECT_TOKENS + OWN_TOKENS)
        subject = self.random.randrange(SUBJECTS)
        parts = (
            PrefixSegment(f'system-{subject % 3}', SYSTEM_TOKENS),
            PrefixSegment(f'subject-{subject}', SUBJECT_TOKENS),
            PrefixSegment(f'own-{number}', OWN_TOKENS),
        )
        request.facts.prefix_segments = parts
        choice = scene.choose(request)
        if not isinstance(choice, SendTo):
            self.refused += 1
            return
        scene.placer.note_sent(choice, request)
        target = choice.estimate.target
        engine = self.engines[target.record.instance]
        kept = engine.kept(parts)
        if choice.estimate.keeper is not None:
            keeper = choice.estimate.keeper.record.instance
            kept = max(kept, self.engines[keeper].kept(parts))
        ends_at = engine.read(parts, kept, now)
        unread = request.facts.prompt_tokens - choice.estimate.cached_tokens
        target.own.add(Load(1, unread, request.facts.prompt_tokens))
        self.reading.append((ends_at, target, unread))
        self.asked_tokens += SYSTEM_TOKENS + SUBJECT_TOKENS
        self.kept_tokens += kept
        self.waits.append(ends_at - now)

    def _finish(self, now):
        for entry in [one for one in self.reading if one[0] <= now]:
            self.reading.remove(entry)
            _, target, unread = entry
            target.own.add(Load(-1, -unread, -unread))

    def _report(self, now):
        for number, scene in enumerate(self.scenes):
            loads = {}
            for instance, load in scene.targets.own_loads().items():
                loads[instance] = Load()
                loads[instance].add(load)
            read_tokens = scene.targets.own_read_tokens()
            uses = scene.targets.recent_uses.by_life(now)
            for other in self.scenes:
                if other is not scene:
                    other.targets.take_report(f'h{number}', loads, now)
                    other.targets.take_uses(f'h{number}', read_tokens, uses)
