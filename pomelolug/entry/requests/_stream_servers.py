"""Servers that run streams: replica groups, or servers of a plain service."""

import abc
import random
from collections.abc import Collection

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer
from pomelolug.entry.performance import LearnedDelayEstimator, StreamObservation
from pomelolug.entry.requests._group_chooser import (
    MAX_RESUME_WAIT_S,
    RESUME_POLL_INTERVAL,
    GroupChooser,
    SelectedServer,
    engine_and_model,
)
from pomelolug.entry.requests._plain_chooser import PlainServerChooser
from pomelolug.entry.requests._request_context import RequestContext
from pomelolug.entry.requests._request_record import GroupChoice
from pomelolug.entry.requests._stream_decisions import no_head_error
from pomelolug.entry.servers import ServerOptions, ServerTracker
from pomelolug.errors import RequestError
from pomelolug.ids import VmId

__all__ = ["GroupServers", "PlainServers", "StreamServers"]


class StreamServers(abc.ABC):
    """Chooses the server of each run of a stream, and records how it does."""

    @abc.abstractmethod
    async def select(
        self, context: RequestContext, tried: Collection[VmId], *, waits: bool
    ) -> SelectedServer | ServerOptions:
        """Return the server of the next run, or the servers among which there is none.

        Parameters
        ----------
        context : RequestContext
            The request.
        tried : collection of VmId
            Servers that the request is not sent to again.
        waits : bool
            Whether to wait for a moment until a server takes the request.
        """

    @abc.abstractmethod
    def find_options(self, context: RequestContext) -> ServerOptions:
        """Return the servers that take a stream now, and the wait if none does."""

    @abc.abstractmethod
    def begin_observation(
        self, context: RequestContext, server: BackendServer, *, in_flight: int
    ) -> StreamObservation:
        """Return the observation of a stream whose request has just been sent."""

    @abc.abstractmethod
    def record_unreached(self, server: BackendServer, *, since_s: float) -> None:
        """Record that the request could not be sent, tried since a monotonic time."""

    @abc.abstractmethod
    def record_failed_run(self, server: BackendServer, *, since_s: float) -> None:
        """Record that a run which began at a monotonic time has failed."""

    @abc.abstractmethod
    def no_server_error(self, options: ServerOptions) -> RequestError:
        """Return the error of a request for which none of the servers was selected."""


class GroupServers(StreamServers):
    """Heads of the replica groups of a service with an inference engine.

    Parameters
    ----------
    chooser : GroupChooser
        Chooses the group of a run.
    server_tracker : ServerTracker
        Groups and their load.
    delay_estimator : LearnedDelayEstimator
        Expected delays at the groups, learned from the streams.
    rng : random.Random
        Jitters retry times.
    """

    def __init__(
        self,
        *,
        chooser: GroupChooser,
        server_tracker: ServerTracker,
        delay_estimator: LearnedDelayEstimator,
        rng: random.Random,
    ) -> None:
        self._chooser = chooser
        self._server_tracker = server_tracker
        self._delay_estimator = delay_estimator
        self._rng = rng

    async def select(
        self, context: RequestContext, tried: Collection[VmId], *, waits: bool
    ) -> SelectedServer | ServerOptions:
        """Return the head of a group; see `GroupChooser.select`."""
        return await self._chooser.select(context, tried, waits=waits)

    def find_options(self, context: RequestContext) -> ServerOptions:
        """Return the heads that take a stream now, and the wait if none does."""
        return self._chooser.find_options(context)

    def begin_observation(
        self, context: RequestContext, server: BackendServer, *, in_flight: int
    ) -> StreamObservation:
        """Return the observation of a stream whose request has just been sent."""
        engine, model = engine_and_model(context)
        assert engine is not None and model is not None
        return self._delay_estimator.begin_stream(
            server,
            engine,
            model,
            in_flight=in_flight,
            prompt_tokens=context.request_head.prompt_tokens,
        )

    def record_unreached(self, server: BackendServer, *, since_s: float) -> None:
        """Suspect the group, all streams of which need its head."""
        self._server_tracker.suspect(server.vm, since_s=since_s)

    def record_failed_run(self, server: BackendServer, *, since_s: float) -> None:
        """Do nothing: the entry of a head shows that its group is broken."""

    def no_server_error(self, options: ServerOptions) -> RequestError:
        """Return the error of a stream for which no group was selected."""
        return no_head_error(options, self._rng)


class PlainServers(StreamServers):
    """Servers of a service without an inference engine, each of which works alone.

    Parameters
    ----------
    chooser : PlainServerChooser
        Chooses the server of a run.
    server_tracker : ServerTracker
        Servers and their recent failures.
    delay_estimator : LearnedDelayEstimator
        Service times of the servers, learned from the first events.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        chooser: PlainServerChooser,
        server_tracker: ServerTracker,
        delay_estimator: LearnedDelayEstimator,
        clock: Clock,
    ) -> None:
        self._chooser = chooser
        self._server_tracker = server_tracker
        self._delay_estimator = delay_estimator
        self._clock = clock

    async def select(
        self, context: RequestContext, tried: Collection[VmId], *, waits: bool
    ) -> SelectedServer | ServerOptions:
        """Return the server of the next run, or the servers among which there is none.

        Parameters are those of `StreamServers.select`.
        """
        until_s = self._clock.monotonic() + MAX_RESUME_WAIT_S
        while True:
            options = self.find_options(context)
            server = self._chooser.select(options, tried)
            if server is not None:
                return SelectedServer(server, GroupChoice.OWN)
            if not waits or self._clock.monotonic() >= until_s:
                return options
            await self._clock.sleep(RESUME_POLL_INTERVAL)

    def find_options(self, context: RequestContext) -> ServerOptions:
        """Return the servers that take a stream now, and the wait if none does."""
        return self._chooser.find_options(context.service.name)

    def begin_observation(
        self, context: RequestContext, server: BackendServer, *, in_flight: int
    ) -> StreamObservation:
        """Return the observation of a stream whose request has just been sent."""
        return self._delay_estimator.begin_plain_stream(
            server, context.route.name, in_flight=in_flight
        )

    def record_unreached(self, server: BackendServer, *, since_s: float) -> None:
        """Prefer other servers for a moment."""
        self._server_tracker.record_failure(server.vm, since_s=since_s)

    def record_failed_run(self, server: BackendServer, *, since_s: float) -> None:
        """Prefer other servers for a moment."""
        self._server_tracker.record_failure(server.vm, since_s=since_s)

    def no_server_error(self, options: ServerOptions) -> RequestError:
        """Return the error of a stream for which no server was selected."""
        return self._chooser.no_server_error(options)
