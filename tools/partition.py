"""Cut entry hosts from each other, and heal the cut."""

from collections.abc import Iterable

import psutil

from tools.fleet import ADDRESS, Fleet
from tools.proxy import Proxy


class PeerNetwork:
    """Put a proxy before the peer and relay port of each entry host."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._proxies: dict[str, list[Proxy]] = {}
        self._sides: list[frozenset[str]] = []

    def start_host(
        self, name: str, region: str, centre: str, **options
    ) -> None:
        """Start an entry host that others reach through proxies only."""
        fleet = self._fleet
        ports = {kind: fleet.ports.take() for kind in ('peer', 'relay')}
        proxies = [Proxy(ADDRESS, port) for port in ports.values()]
        self._proxies[name] = proxies
        for proxy in proxies:
            proxy.is_allowed = lambda port, name=name: self._may_reach(
                port, name
            )
        overrides = options.pop('overrides', {})
        host = {
            **overrides.get('host', {}),
            'peer_port': ports['peer'],
            'relay_port': ports['relay'],
            'advertised_peer_port': proxies[0].port,
            'advertised_relay_port': proxies[1].port,
        }
        seeds = [both[0].port for both in self._proxies.values()][:4]
        fleet.start_host(
            name, region, centre, {**overrides, 'host': host}, seeds=seeds
        )

    def split(self, *sides: Iterable[str]) -> None:
        """Let hosts reach only those of their own side."""
        self._sides = [frozenset(side) for side in sides]
        for name, proxies in self._proxies.items():
            for link in [one for proxy in proxies for one in proxy.links]:
                if not self._may_reach(link.client_port, name):
                    link.close()

    def heal(self) -> None:
        """Let all reach all."""
        self._sides = []

    def delay(self, seconds: float) -> None:
        """Hold up whatever hosts tell each other."""
        for proxies in self._proxies.values():
            for proxy in proxies:
                proxy.delay_seconds = seconds

    def close_links(self) -> None:
        """Close what is open between hosts; new links work."""
        for proxies in self._proxies.values():
            for proxy in proxies:
                proxy.close_links()

    def silence(self) -> None:
        """Make every open link swallow what it carries; new ones work."""
        for proxies in self._proxies.values():
            for proxy in proxies:
                proxy.silence_links()

    def _may_reach(self, client_port: int, name: str) -> bool:
        if not self._sides:
            return True
        caller = self.owner(client_port)
        return any({caller, name} <= side for side in self._sides)

    def owner(self, client_port: int) -> str:
        """Return the entry host that a connection comes from."""
        for name in self._fleet.hosts:
            process = self._fleet.processes[name]
            if process.is_running and any(
                one.laddr and one.laddr.port == client_port
                for one in psutil.Process(process.pid).net_connections()
            ):
                return name
        return ''
