"""Cache of the routing table and configuration from the control process."""

from collections.abc import Callable

import msgspec
import structlog

from pomelolug.clock import Clock
from pomelolug.configuration import Configuration
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.invariants import InvariantChecker, InvariantError
from pomelolug.messages import RoutingTable

__all__ = ["RoutingTableCache"]

_log = structlog.get_logger()


class RoutingTableCache:
    """Stores the last routing table and notifies the components that use it.

    Parameters
    ----------
    clock : Clock
        Time source.
    invariants : InvariantChecker
        Run-time checks of the system's invariants.
    on_configuration : sequence of callable
        Callbacks for each new configuration.
    on_table : sequence of callable
        Callbacks for each table.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        invariants: InvariantChecker,
        on_configuration: list[Callable[[Configuration], None]],
        on_table: list[Callable[[RoutingTable], None]],
    ) -> None:
        self._clock = clock
        self._invariants = invariants
        self._on_configuration = on_configuration
        self._on_table = on_table
        self._configuration: Configuration | None = None
        self._table: RoutingTable | None = None
        self._received_at_s = 0.0

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force, or None before the first one."""
        return self._configuration

    @property
    def table(self) -> RoutingTable | None:
        """Last table from the control process, or None before the first one."""
        return self._table

    @property
    def age_s(self) -> float:
        """Seconds since the last table arrived, or -1 before the first one."""
        if self._table is None:
            return -1.0
        return self._clock.monotonic() - self._received_at_s

    def require_configuration(self) -> Configuration:
        """Return the configuration in force.

        Raises
        ------
        RequestError
            ``no_configuration`` before the first one.
        """
        if self._configuration is None:
            raise RequestError(
                ErrorCode.NO_CONFIGURATION,
                "this entry VM has no configuration yet",
                status=503,
            )
        return self._configuration

    def receive(self, table: RoutingTable) -> None:
        """Store and publish `table`, and apply its configuration if it is newer.

        The table was created after this process sent the request whose time it
        echoes, so that the time since then is added to the age of every
        verification. This accounts for a table that waited in a buffer while
        this process was paused.
        """
        now = self._clock.monotonic()
        transit_s = max(0.0, now - table.echo_s)
        groups = tuple(
            msgspec.structs.replace(
                group, verified_age_s=group.verified_age_s + transit_s
            )
            for group in table.groups
        )
        table = msgspec.structs.replace(table, groups=groups)
        self._table = table
        self._received_at_s = now
        if table.config:
            self._apply_configuration(table)
        self.publish(table)

    def publish(self, table: RoutingTable) -> None:
        """Pass `table` to the callbacks, without groups that share a VM."""
        conflicting_groups = self._invariants.find_groups_sharing_vm(table.groups)
        if conflicting_groups:
            remaining = tuple(
                g for g in table.groups if g.group not in conflicting_groups
            )
            table = msgspec.structs.replace(table, groups=remaining)
        for callback in self._on_table:
            callback(table)

    def _apply_configuration(self, table: RoutingTable) -> None:
        current = self._configuration
        if current is not None and current.version == table.config_version:
            return
        try:
            configuration = msgspec.json.decode(table.config, type=Configuration)
            self._invariants.check_configuration(configuration.version)
        except msgspec.DecodeError as error:
            _log.error("configuration_unreadable", error=str(error))
            return
        except InvariantError:
            # A version older than the one in force is never applied.
            return
        self._configuration = configuration
        _log.info("configuration_in_force", version=configuration.version)
        for callback in self._on_configuration:
            callback(configuration)
