"""The retry budget that all nodes share, divided among them.

Each node uses its part of the rule, so that the sum keeps the rule whether or not the nodes reach
each other. A node that is cut off sees fewer nodes than there are; the largest number that it has
seen therefore stands.
"""

import asyncio
from collections.abc import Callable

from .dependencies import RetryBudgets
from .limit import RetryRule, RetryWindow

# Assumed until a node has seen more of them.
ASSUMED_NODES = 12


class NodeRetryBudgets(RetryBudgets):
    """This node's part of a retry budget for each pool.

    Args:
        rule: Retries that all nodes together may send.
        nodes: Returns the number of nodes that this node knows.
    """

    def __init__(self, rule: RetryRule, nodes: Callable[[], int]) -> None:
        self._rule = rule
        self._count = nodes
        self._nodes = ASSUMED_NODES
        self._budgets: dict[str, RetryWindow] = {}

    def count_request(self, pool: str) -> None:
        """Count a request of a pool."""
        self._of(pool).note_request(asyncio.get_running_loop().time())

    def try_spend(self, pool: str) -> bool:
        """Take one retry; False if this node's part is used up."""
        return self._of(pool).take(asyncio.get_running_loop().time())

    def _of(self, pool: str) -> RetryWindow:
        nodes = self._count()
        if nodes > self._nodes:
            self._nodes = nodes
            for budget in self._budgets.values():
                budget.minimum = self._rule.minimum / nodes
        found = self._budgets.get(pool)
        if found is None:
            found = self._budgets[pool] = self._rule.for_node(self._nodes)
        return found
