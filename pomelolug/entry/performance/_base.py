"""Interface of what is known of the speed of servers."""

import abc

from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile

__all__ = ["DelayEstimator"]


class DelayEstimator(abc.ABC):
    """Estimates how long a request takes at a replica group, and how many it takes."""

    @abc.abstractmethod
    def first_event_s(
        self,
        head: BackendServer,
        engine: EngineProfile,
        model: ModelProfile,
        *,
        in_flight: int,
        prompt_tokens: int,
    ) -> float:
        """Return the expected time to the first event of a further request, in seconds.

        Parameters
        ----------
        head : BackendServer
            Head of the group.
        engine, model : EngineProfile, ModelProfile
            Declared timing of the group.
        in_flight : int
            Requests of all nodes at the group, as known to this node.
        prompt_tokens : int
            Size of the prompt.
        """

    @abc.abstractmethod
    def limit(self, head: BackendServer, engine: EngineProfile) -> int:
        """Return the number of requests up to which a group takes more of them well."""
