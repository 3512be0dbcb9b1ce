"""Authentication of requests by bearer keys."""

import collections
import hashlib

from pomelolug.configuration import Account, Configuration, verify_key
from pomelolug.errors import ErrorCode, RequestError

__all__ = ["Authenticator"]

_CACHE_SIZE = 4096
_MAX_KEY_LENGTH = 256


class Authenticator:
    """Checks bearer keys against the salted hashes in the configuration.

    Results are cached by the digest of the key, so that a repeated key costs one
    hash instead of one for each configured key. A new configuration clears the
    cache.
    """

    def __init__(self) -> None:
        self._accounts: tuple[Account, ...] = ()
        self._cache: collections.OrderedDict[bytes, Account | None] = (
            collections.OrderedDict()
        )

    def configure(self, configuration: Configuration) -> None:
        """Use the accounts of `configuration` from now on."""
        self._accounts = configuration.accounts
        self._cache.clear()

    def authenticate(self, authorization: str) -> Account:
        """Return the client account that an ``Authorization`` header identifies.

        Raises
        ------
        RequestError
            ``unauthenticated`` if the header has no key or no account has this
            key.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not 0 < len(key) <= _MAX_KEY_LENGTH:
            raise _unauthenticated()
        digest = hashlib.sha256(key.encode()).digest()
        if digest in self._cache:
            self._cache.move_to_end(digest)
            account = self._cache[digest]
        else:
            account = self._find_account(key)
            self._cache[digest] = account
            if len(self._cache) > _CACHE_SIZE:
                self._cache.popitem(last=False)
        if account is None:
            raise _unauthenticated()
        return account

    def _find_account(self, key: str) -> Account | None:
        for account in self._accounts:
            for key_hash in account.keys:
                if verify_key(key, key_hash):
                    return account
        return None


def _unauthenticated() -> RequestError:
    return RequestError(
        ErrorCode.UNAUTHENTICATED, "no client account has this key", status=401
    )
