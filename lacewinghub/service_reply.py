"""Judges whether the reply of a plain service is whole."""

import json

import aiohttp

_STATUSES_WITHOUT_BODY = (204, 304)


def is_whole(resp: aiohttp.ClientResponse, data: bytes) -> bool:
    """Return whether a reply, which was read to its end, did not end early.

    The end of the connection ends a reply without framing, also if the endpoint died or reset it.
    Only JSON shows its own end; the first of several values or words may look like a whole value.
    Chunks may end in order although the endpoint failed in the middle of a reply.

    Args:
        resp: The head of the reply.
        data: Its body.
    """
    if "content-length" in resp.headers or resp.status in _STATUSES_WITHOUT_BODY:
        return True
    if "chunked" in resp.headers.get("transfer-encoding", "").lower():
        return resp.content_type != "application/json" or _is_json(data)
    claims_json = resp.content_type == "application/json" or resp.content_type.endswith("+json")
    return claims_json and _is_json(data, may_be_longer=False)


def _is_json(data: bytes, may_be_longer: bool = True) -> bool:
    """Return whether data is a JSON value.

    Args:
        data: The encoded value.
        may_be_longer: False to exclude a number, which could be the start of a longer one.
    """
    try:
        value = json.loads(data)
    except ValueError:
        return False
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return may_be_longer or not is_number
