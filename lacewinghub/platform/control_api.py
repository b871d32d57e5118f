"""Client for the platform's control API."""

import json
from typing import Any

import aiohttp
from loguru import logger

from ..control_api import CallOutcome, ControlApi, RunnerOrder, UsageReport
from . import names

CONNECT_TIMEOUT_S = 0.3
_OUTCOMES = {
    200: CallOutcome.ACCEPTED,
    409: CallOutcome.UNAVAILABLE,
    429: CallOutcome.LIMITED,
}


class HttpControlApi(ControlApi):
    """Sends the calls over HTTP, each on a connection of its own.

    The connection of a call without an answer is closed, so that the call cannot arrive much later.

    Args:
        address: ``IP:port`` of the control API.
        holder: Name of this node.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._base = f"http://{address}"
        self._holder = holder
        self._session_or_none: aiohttp.ClientSession | None = None

    async def report_usage(self, token: int, report: UsageReport) -> CallOutcome:
        """Report the usage of one window; see ``ControlApi.report_usage``."""
        counts = dict(sorted(report.counts.items()))
        return await self._call(
            names.USAGE_PATH, token, {"window_id": report.window, "counts": counts}
        )

    async def order_runners(self, token: int, order: RunnerOrder) -> CallOutcome:
        """Order runners; see ``ControlApi.order_runners``."""
        body: dict[str, Any] = {
            "service": order.pool,
            "zone": order.availability_zone,
            "desired": order.desired,
        }
        if order.spot:
            body["spot"] = True
        return await self._call(names.SCALE_PATH, token, body)

    async def close(self) -> None:
        """Release the connections."""
        if self._session_or_none is not None:
            await self._session_or_none.close()

    async def _call(self, path: str, token: int, body: dict[str, Any]) -> CallOutcome:
        timeout = aiohttp.ClientTimeout(total=self.CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        headers = {
            names.DUTY_HOLDER: self._holder,
            names.FENCING_TOKEN: str(token),
            "Content-Type": "application/json",
        }
        data = json.dumps(body, separators=(",", ":")).encode()
        try:
            async with self._session().post(
                self._base + path, data=data, headers=headers, timeout=timeout
            ) as resp:
                outcome = _OUTCOMES.get(resp.status)
                if outcome is None:
                    unknown = resp.status >= 500
                    outcome = CallOutcome.UNANSWERED if unknown else CallOutcome.REJECTED
                log = logger.bind(path=path, token=token, status=resp.status, outcome=str(outcome))
                log.info("control API answered")
                return outcome
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            logger.bind(path=path, token=token, reason=repr(exc)).warning(
                "control API did not answer"
            )
            return CallOutcome.UNANSWERED

    def _session(self) -> aiohttp.ClientSession:
        if self._session_or_none is None:
            connector = aiohttp.TCPConnector(force_close=True)
            self._session_or_none = aiohttp.ClientSession(connector=connector)
        return self._session_or_none
