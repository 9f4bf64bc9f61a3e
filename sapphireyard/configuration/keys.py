"""Keys of customers and operators; only salted digests are ever kept."""

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
    """Who makes a call.

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
    """Return a fresh site salt in hex."""
    return secrets.token_hex(SALT_BYTES)


def create_key():
    """Return a fresh key; show it once and keep only its digest."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key, salt):
    """Return the hex digest of `key` under the hex `salt`."""
    digest = hashlib.blake2b(
        key.encode(), key=bytes.fromhex(salt), digest_size=DIGEST_BYTES
    )
    return digest.hexdigest()


class KeyRing:
    """Finds the principal of a key.

    The lookup goes by the salted digest, which nobody can choose without the
    salt; the comparison takes constant time.

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
    """Return what operators see of a `KeyEntry`, as plain data."""
    assert isinstance(entry, KeyEntry)
    return {
        "key": entry.name,
        "role": entry.role,
        "customer": entry.customer,
        "state": entry.state,
        "note": entry.note,
    }
