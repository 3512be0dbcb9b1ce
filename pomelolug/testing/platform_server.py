"""Simulated platform: log, VM list and weight store over HTTP.

Run ``python -m pomelolug.testing.platform_server --port 9000 --zones a,b``.
The port serves every caller. Each availability zone also has its own port (9001 for
``a``, 9002 for ``b``) that sends no responses while the zone is cut off.
"""

from collections.abc import Awaitable, Callable

import fire
from aiohttp import web

from pomelolug.clock import Clock, SystemClock
from pomelolug.testing._platform_app import PlatformApp
from pomelolug.testing._serve import parse_names, run_until_stopped

__all__ = ["main", "start_platform"]

_SHUTDOWN_TIMEOUT_S = 0.1


async def start_platform(
    *,
    port: int,
    zones: tuple[str, ...] = (),
    host: str = "127.0.0.1",
    rate_bytes_per_s: float = 1e9,
    sizes: dict[str, int] | None = None,
    clock: Clock | None = None,
) -> tuple[PlatformApp, web.AppRunner]:
    """Listen on `port` and on one additional port per availability zone.

    Parameters
    ----------
    port : int
        Port for every caller; the ports above it belong to `zones` in order.
        With 0, the operating system chooses the port and `zones` must be empty.
    zones : tuple of str
        Availability zones with their own port.
    host : str
        Address to listen on.
    rate_bytes_per_s : float
        Rate limit reported by the weight store.
    sizes : dict, optional
        Size of each model in bytes.
    clock : Clock, optional
        Source of time.

    Returns
    -------
    tuple
        The application and its runner, whose ``cleanup`` stops the server.
    """
    if port == 0 and zones:
        raise ValueError("zones require a fixed port, but port is 0")
    zone_by_port = {port + 1 + index: zone for index, zone in enumerate(zones)}
    app = PlatformApp(
        clock=clock or SystemClock(),
        rate_bytes_per_s=rate_bytes_per_s,
        sizes=sizes or {},
        zone_by_port=zone_by_port,
    )
    runner = web.AppRunner(
        app.application(),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    for listen_port in (port, *zone_by_port):
        await web.TCPSite(runner, host, listen_port).start()
    return app, runner


def main(
    port: int,
    zones: str = "",
    host: str = "127.0.0.1",
    models: str = "model",
    model_bytes: int = 100_000_000,
    rate_bytes_per_s: float = 1e9,
) -> None:
    """Run the simulated platform until SIGTERM or SIGINT."""

    async def start() -> Callable[[], Awaitable[None]]:
        _, runner = await start_platform(
            port=port,
            zones=parse_names(zones),
            host=host,
            rate_bytes_per_s=rate_bytes_per_s,
            sizes=dict.fromkeys(parse_names(models), model_bytes),
        )
        return runner.cleanup

    run_until_stopped(start)


if __name__ == "__main__":
    fire.Fire(main)
