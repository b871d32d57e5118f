"""Runs a node process with one mechanism taken out: ``python -m tests.node_without NAME SETTINGS``.

Counterparts of the proofs with processes; each must break the guarantee that its mechanism keeps.
"""

import sys
from typing import Any
from unittest import mock

from lacewinghub.claim import Claimer
from lacewinghub.dependencies import PoolBudgets, Send
from lacewinghub.endpoint import Reply
from lacewinghub.node import serve
from lacewinghub.request import Request


async def _send_unclaimed(self: Claimer, req: Request, send: Send) -> Reply:
    return await send(lambda: None)


MECHANISMS: dict[str, Any] = {
    "claims": mock.patch.object(Claimer, "execute", _send_unclaimed),
    "retries": mock.patch.object(PoolBudgets, "try_spend", lambda self, pool: False),
    "retry-budget": mock.patch.object(PoolBudgets, "try_spend", lambda self, pool: True),
}


if __name__ == "__main__":
    with MECHANISMS[sys.argv[1]]:
        serve(sys.argv[2])
