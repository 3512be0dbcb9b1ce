"""Writers of an experiment's settings and configuration files."""

import configparser
import hashlib
import pathlib

from pomelolug.experiments._trace import Trace

__all__ = ["AccountKeys", "write_configuration", "write_ini"]

_SALT = b"experiment-salt!"


class AccountKeys:
    """Fixed API keys of the client accounts; everything runs on loopback."""

    def __init__(self, accounts: list[str]) -> None:
        self._keys = {name: f"key-of-{name}" for name in accounts}

    @property
    def keys(self) -> dict[str, str]:
        """API keys by account name."""
        return self._keys

    def salted_hash(self, account: str) -> str:
        """Return the salted hash of the key of `account` for the configuration."""
        digest = hashlib.sha256(_SALT + self._keys[account].encode()).hexdigest()
        return f"{_SALT.hex()}:{digest}"


def write_ini(path: pathlib.Path, sections: dict[str, dict[str, object]]) -> None:
    """Write `sections` to an INI file."""
    parser = configparser.ConfigParser(interpolation=None)
    for section, options in sections.items():
        parser[section] = {key: str(value) for key, value in options.items()}
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


def write_configuration(
    path: pathlib.Path,
    trace: Trace,
    keys: AccountKeys,
    *,
    ttft_targets_s: dict[str, float] | None = None,
) -> None:
    """Write the configuration file of the deployment in `trace`.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    trace : Trace
        Declares the pools, services, classes and accounts.
    keys : AccountKeys
        API keys of the accounts.
    ttft_targets_s : dict, optional
        Targets for the time to first token in seconds, by class; they override
        those of the trace.
    """
    spec = trace.deployment
    targets_s = ttft_targets_s or {}
    sections: dict[str, dict[str, object]] = {
        "deployment": {"objective": spec.objective}
    }
    for pool in spec.pools:
        sections[f"pool {pool}"] = {
            "model": pool,
            "members": spec.members,
            "accelerators": spec.accelerators,
        }
    for service in spec.services:
        sections[f"service {service}"] = {"timeout": "5s"}
    for item in trace.classes:
        sections[f"class {item.name}"] = {
            "priority": item.priority,
            "ttft_target": f"{targets_s.get(item.name, item.ttft_target_s)}s",
            "gap_target": f"{item.gap_target_s}s",
            "deadline": f"{item.deadline_s}s",
            "pool": item.pool,
            "service": item.service,
            "idempotent": "yes" if item.idempotent else "no",
        }
    for account in trace.accounts:
        sections[f"account {account.name}"] = {
            "keys": keys.salted_hash(account.name),
            "weight": account.weight,
        }
    write_ini(path, sections)
