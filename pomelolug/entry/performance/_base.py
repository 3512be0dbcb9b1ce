"""Interface of what is known of the speed of servers."""

import abc
import datetime

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

    def choice_delay_s(
        self,
        head: BackendServer,
        engine: EngineProfile,
        model: ModelProfile,
        *,
        in_flight: int,
        prompt_tokens: int,
        target: datetime.timedelta,
    ) -> float:
        """Return the delay by which a group is compared with others, in seconds.

        Parameters
        ----------
        head, engine, model, in_flight, prompt_tokens
            As `first_event_s`, which it is unless a subclass knows better.
        target : datetime.timedelta
            Latency target of the request.
        """
        return self.first_event_s(
            head, engine, model, in_flight=in_flight, prompt_tokens=prompt_tokens
        )

    @abc.abstractmethod
    def limit(self, head: BackendServer, engine: EngineProfile) -> int:
        """Return the number of requests up to which a group takes more of them well."""

    def snapshot(self) -> "DelayEstimator":
        """Return an estimator that can be asked without a change of this one.

        It is this one unless asking changes the subclass.
        """
        return self
