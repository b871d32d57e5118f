"""Keys of workspaces, operators and peers; only their SHA-256 digests are stored."""

import hashlib
import hmac
from collections.abc import Iterable

from .errors import Forbidden, Unauthorized
from .tables import Tables, Workspace

_SCHEME = "bearer"


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a key, 32 bytes."""
    return hashlib.sha256(key.encode()).digest()


def bearer_key(header: str | None) -> str:
    """Extract the key from an ``Authorization`` header.

    Args:
        header: Value of the header, or None if it is absent.

    Returns:
        The key.

    Raises:
        Unauthorized: If the header has no bearer key.
    """
    scheme, _, key = (header or "").strip().partition(" ")
    if scheme.lower() != _SCHEME or not key.strip():
        raise Unauthorized("header 'Authorization: Bearer KEY' is missing")
    return key.strip()


def workspace_of(tables: Tables, header: str | None) -> Workspace:
    """Find the workspace that a client's key belongs to.

    Args:
        tables: The tables in force.
        header: Value of the ``Authorization`` header.

    Returns:
        The workspace.

    Raises:
        Unauthorized: If the key is missing or unknown.
    """
    workspace = tables.workspace_of(key_digest(bearer_key(header)))
    if workspace is None:
        raise Unauthorized("the key belongs to no workspace")
    return workspace


def check_operator(digests: Iterable[str], tables: Tables, header: str | None) -> None:
    """Check the key of an operator.

    Args:
        digests: SHA-256 digests of the operators' keys, in hex.
        tables: The tables in force.
        header: Value of the ``Authorization`` header.

    Raises:
        Unauthorized: If the key is missing or unknown.
        Forbidden: If the key is that of a workspace.
    """
    found = key_digest(bearer_key(header))
    if any(hmac.compare_digest(found.hex(), item) for item in digests):
        return
    if tables.workspace_of(found) is not None:
        raise Forbidden("a workspace key does not permit this operation")
    raise Unauthorized("the key belongs to no operator")
