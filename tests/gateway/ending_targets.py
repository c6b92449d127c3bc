"""Stand for engines that end under some requests and come back."""

import asyncio
import itertools

from tests.gateway import target_standin as standin
from tests.gateway.broken_answers import unmarked
from tests.gateway.target_standin import TargetStandIn

FATAL = b'a prompt under which engines end'
# Time from an engine's end to its next life, and of work before the end.
BACK_SECONDS = 0.5
PIECES = 3
# Requests that get whole answers, also of engines.
WHOLE_PATH = '/call/'
WHOLE_SECONDS = 0.08
BEFORE_END_SECONDS = 0.03


class EndingTargets:
    """Keep engines running: each that ends is followed by another life."""

    def __init__(self, deployment, fatal=(FATAL,), fatal_parts=()):
        self.deployment = deployment
        self.fatal = set(fatal)
        self.fatal_parts = set(fatal_parts)
        # Names of the lives that ended under a fatal request, in order.
        self.ended = []
        # Fatal requests that arrived at engines.
        self.arrived = []
        self.served = []
        self.begins_with_head = True
        # Answers of so many pieces whose end only the connection marks, one in
        # so many; none by default.
        self.unmarked_every = 0
        self._numbers = itertools.count(1)
        self._lives = {}

    def add(self, data_centre, service='model'):
        instance = f'i-{next(self._numbers)}'
        target = self.deployment.add_target(instance, service, data_centre)
        self._take(target, data_centre, service)
        return target

    def live(self, data_centre=None):
        """Return the names of lives that have not ended."""
        return [
            name
            for name, place in self._lives.items()
            if data_centre in {None, place}
        ]

    def is_engine(self, instance):
        return self.deployment.targets[instance].service == 'model'

    def end(self, instance):
        """End a life for a reason of its own."""
        target = self.deployment.targets[instance]
        self.deployment.loop.run(self._end(target))

    def _is_fatal(self, request):
        segments = request.headers.get('prompt-prefix', '').split(',')
        names = {one.partition(':')[0] for one in segments}
        return request.body in self.fatal or bool(names & self.fatal_parts)

    def _take(self, target, data_centre, service):
        target.script = self._script
        target.data_centre = data_centre
        target.service = service
        self._lives[target.instance] = data_centre

    async def _script(self, target, request, writer):
        if not self._is_fatal(request):
            self.served.append(request)
            if self.unmarked_every and not (
                len(self.served) % self.unmarked_every
            ):
                return await unmarked(PIECES)(target, request, writer)
            if request.target.startswith(WHOLE_PATH):
                await asyncio.sleep(WHOLE_SECONDS)
            elif target.service.startswith('model'):
                return await standin.stream(PIECES)(target, request, writer)
            return await standin.serve_plain(target, request, writer)
        self.arrived.append(request)
        target.executed.append(request)
        if self.begins_with_head and target.service == 'model':
            writer.write(standin.stream_head(request))
            await writer.drain()
        await asyncio.sleep(BEFORE_END_SECONDS)
        if target.instance in self._lives:
            self.ended.append(target.instance)
            await self._end(target)
        return False

    async def _end(self, target):
        self._lives.pop(target.instance)
        target.end()
        asyncio.get_running_loop().create_task(self._come_back(target))

    async def _come_back(self, ended):
        await asyncio.sleep(BACK_SECONDS)
        store = self.deployment.store
        store._erase(f'servers/{ended.instance}')
        instance = f'i-{next(self._numbers)}'
        target = TargetStandIn(ended.address, instance)
        self.deployment.targets[instance] = target
        await target.open()
        target.loop = ended.loop
        self._take(target, ended.data_centre, ended.service)
        document = self.deployment.target_document(
            instance, ended.service, ended.data_centre
        )
        store.write_document(f'servers/{instance}', document)
