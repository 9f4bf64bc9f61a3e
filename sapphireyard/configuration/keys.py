"""Keys of customers and operators; only salted digests are stored."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from sapphireyard.configuration.tables import KEY_ACTIVE, ROLE_OPERATOR, KeyEntry
from sapphireyard.exceptions import CallError
from sapphireyard.logs import KEY_PREFIX

KEY_BYTES = 24
SALT_BYTES = 32
DIGEST_BYTES = 32


@dataclass(frozen=True)
class Principal:
    """The authenticated sender of a call.

    Attributes
    ----------
    customer : str
        Customer of the key; empty for operators.
    key_digest : str
        Digest of the key, safe to pass between hosts.
    operator : bool
        Whether the key is an operator's.
    """

    customer: str
    key_digest: str
    operator: bool


def create_salt():
    """Return a new random salt in hex, used for all keys of a site."""
    return secrets.token_hex(SALT_BYTES)


def create_key():
    """Return a new random key; show it once and store only its digest."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key, salt):
    """Return the hex digest of `key` under the hex `salt`."""
    digest = hashlib.blake2b(
        key.encode(), key=bytes.fromhex(salt), digest_size=DIGEST_BYTES
    )
    return digest.hexdigest()


class KeyRing:
    """Authenticates keys.

    Keys are looked up by their salted digest, which nobody can choose without
    the salt; digests are compared in constant time.

    Parameters
    ----------
    entries : dict
        `KeyEntry` by digest, of one version of the configuration.
    salt : str
        Hex salt of their digests.
    """

    def __init__(self, entries, salt):
        self._salt = salt
        self._entries = entries

    def authenticate(self, key):
        """Return the `Principal` of a key.

        Raises
        ------
        CallError
            ``key_unknown`` or ``key_withdrawn``.
        """
        entry = self._find(key)
        if entry is None:
            raise CallError("key_unknown", "the key is not known")
        if entry.state != KEY_ACTIVE:
            raise CallError("key_withdrawn", "the key was withdrawn")
        return Principal(entry.customer, entry.digest, entry.role == ROLE_OPERATOR)

    def _find(self, key):
        if not self._salt:
            return None
        digest = digest_key(key, self._salt)
        entry = self._entries.get(digest)
        if entry is None or not hmac.compare_digest(entry.digest, digest):
            return None
        return entry


def describe_key(entry):
    """Return the fields of a `KeyEntry` that operators see, as plain data."""
    assert isinstance(entry, KeyEntry)
    return {
        "key": entry.name,
        "role": entry.role,
        "customer": entry.customer,
        "state": entry.state,
        "note": entry.note,
    }
