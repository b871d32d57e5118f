"""Decides which requests continue a stream, and where: at endpoints with its first software."""

from collections.abc import Callable, Iterable, Sequence

from .errors import StreamVersionGone
from .request import Request
from .tables import Endpoint, Pool


def continues_stream(req: Request) -> bool:
    """Return whether the client of a request has already received a part of its stream."""
    return req.proxy is not None and (req.proxy.is_take_up or req.proxy.origin is not None)


def may_continue_at(req: Request, endpoint: Endpoint) -> bool:
    """Return whether an endpoint may be sent a request.

    Any endpoint may begin a stream, unless its record cannot be changed. What two software versions
    write does not fit together, so that a stream goes on only at the version that began it.

    Args:
        req: The request.
        endpoint: The endpoint.
    """
    version = _version(req)
    return version is None or endpoint.version == version


def beginning(
    req: Request, endpoints: Sequence[Endpoint], is_new: Callable[[Endpoint], bool]
) -> list[Endpoint]:
    """Return at which endpoints of a pool a request may begin.

    A stream that may be resumed does not begin at a version of which other nodes may not know yet:
    a client could take it up at one that knows only the other version.

    Args:
        req: The request.
        endpoints: Endpoints of the pool.
        is_new: Tells whether the version of an endpoint is new beside another one.
    """
    state = req.proxy
    if state is None or not (state.streaming and state.resumable) or _version(req) is not None:
        return list(endpoints)
    return [item for item in endpoints if not is_new(item)]


def may_move(source: Endpoint, target: Endpoint) -> bool:
    """Return whether a run may go on at another endpoint, with the state that the first one has."""
    return source.version == target.version


def check_origin(req: Request, pool: Pool) -> None:
    """Check that a pool has an endpoint at which a request may go on.

    Args:
        req: The request.
        pool: Its pool, with the endpoints that are not leaving.

    Raises:
        StreamVersionGone: If no endpoint has the version that began the stream. The client can
            begin a new one at once.
    """
    if _version(req) is None:
        return
    if not continuing(req, pool.endpoints):
        raise StreamVersionGone(
            f"no endpoint of pool {pool.name!r} has the software version that began the stream",
            retry_after_s=0.0,
        )


def continuing(req: Request, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Return those of some endpoints that may be sent a request."""
    return [item for item in endpoints if may_continue_at(req, item)]


def _version(req: Request) -> str | None:
    """Return the only software version at which a stream may begin or go on, or None."""
    return req.proxy.required_version if req.proxy is not None else None
