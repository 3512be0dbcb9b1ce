"""Command-line entry point of ``pomelolug-gateway``."""

from pomelolug.gateway._compose import run_gateway
from pomelolug.settings._command import run_command
from pomelolug.settings._gateway_generated import GATEWAY_SPEC, GatewaySettings

__all__ = ["main"]


def main() -> None:
    """Load the settings and run the gateway until it is stopped."""
    run_command("pomelolug-gateway", GatewaySettings, GATEWAY_SPEC, run_gateway)


if __name__ == "__main__":
    main()
