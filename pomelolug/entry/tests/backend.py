"""A backend server without a process, and a client for orders to one."""

import datetime
from collections.abc import Callable

from pomelolug.deployment import BackendServer, ServerNotice, ServerState
from pomelolug.ids import DomainId, ServiceName, VmId, ZoneId
from pomelolug.platform import HttpServerControl
from pomelolug.transport import ConnectionPool

__all__ = ["make_backend_server", "make_server_control"]

_SECOND = datetime.timedelta(seconds=1)


def make_backend_server(address: str = "", *, start_time_ms: int = 1) -> BackendServer:
    return BackendServer(
        vm=VmId("s1"),
        start_time_ms=start_time_ms,
        service=ServiceName("llm"),
        address=address,
        zone=ZoneId("z"),
        domain=DomainId("d"),
        state=ServerState.READY,
        slots=4,
        staged=frozenset(),
        model=None,
        membership=None,
    )


def make_server_control(
    on_notice: Callable[[BackendServer, ServerNotice], None] = lambda *_: None,
) -> HttpServerControl:
    return HttpServerControl(
        pool=ConnectionPool(max_idle=_SECOND, connect_timeout=_SECOND),
        order_timeout=_SECOND,
        report_timeout=_SECOND,
        on_notice=on_notice,
    )
