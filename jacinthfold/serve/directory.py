"""Tell callers which entry hosts to use, and in which order."""

from typing import Any

from jacinthfold.config import Settings
from jacinthfold.hashing import rank
from jacinthfold.serve.deployment import Deployment, Organisation
from jacinthfold.serve.limits import assigned_hosts, home_data_centre
from jacinthfold.serve.members import Member, MemberState, MemberTable

ENTRY_LIMIT = 12


class Directory:
    """Order the live entry hosts for one organisation."""

    def __init__(self, members: MemberTable, settings: Settings) -> None:
        """Take the members and how many serve one organisation."""
        self._members = members
        self._settings = settings

    def entry_hosts(
        self, deployment: Deployment, organisation: Organisation
    ) -> list[Member]:
        """Return the hosts that may serve it, the best first."""
        active = [
            member
            for member, heartbeat in self._members.live()
            if heartbeat.state == MemberState.ACTIVE
            and member.region in organisation.regions
        ]
        # A small and steady set first: it holds the organisation's limit and
        # keeps a harmful caller away from most hosts.
        regions = [
            organisation.home,
            *(
                name
                for name in organisation.regions
                if name != organisation.home
            ),
        ]
        ordered: list[Member] = []
        for region in regions:
            centre = home_data_centre(deployment, organisation, region)
            inside = [one for one in active if one.region == region]
            near = [one for one in inside if one.data_centre == centre]
            ordered += assigned_hosts(
                organisation,
                near,
                self._settings.limits.hosts_per_organisation,
            )
            ordered += _ranked(
                organisation, [one for one in inside if one not in ordered]
            )
        return ordered[:ENTRY_LIMIT]

    def to_document(
        self, deployment: Deployment, organisation: Organisation
    ) -> dict[str, Any]:
        """Return the answer to a caller."""
        return {
            'entry_hosts': [
                {
                    'name': member.name,
                    'url': member.caller_url,
                    'region': member.region,
                    'data_centre': member.data_centre,
                }
                for member in self.entry_hosts(deployment, organisation)
            ],
            'lifetime_seconds': (
                self._settings.callers.directory_lifetime_seconds
            ),
        }


def _ranked(organisation: Organisation, members: list[Member]) -> list[Member]:
    by_name = {member.name: member for member in members}
    return [by_name[name] for name in rank(organisation.name, by_name)]
