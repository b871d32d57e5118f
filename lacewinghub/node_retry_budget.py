"""A retry budget for all nodes together, divided equally between them.

Each node uses only its part, so that the sum stays within the budget even if the nodes cannot reach
each other. A node that is cut off sees fewer nodes than there are; the budget is therefore divided
by the largest number of nodes that it has seen.
"""

import asyncio
from collections.abc import Callable

from .dependencies import RetryBudgets
from .limit import RetryRule, RetryWindow

ASSUMED_NODES = 12  # Number of nodes that is assumed until more have been seen.


class NodeRetryBudgets(RetryBudgets):
    """This node's part of a retry budget for each pool.

    Args:
        rule: Retries that all nodes together may send.
        nodes: Returns the number of nodes known to this node.
    """

    def __init__(self, rule: RetryRule, nodes: Callable[[], int]) -> None:
        self._rule = rule
        self._known_nodes = nodes
        self._nodes = ASSUMED_NODES
        self._budgets: dict[str, RetryWindow] = {}

    def count_request(self, pool: str) -> None:
        """Count a request of a pool."""
        self._budget(pool).note_request(asyncio.get_running_loop().time())

    def try_spend(self, pool: str) -> bool:
        """Use up one retry; return False if none is left in this node's part."""
        return self._budget(pool).try_spend(asyncio.get_running_loop().time())

    def _budget(self, pool: str) -> RetryWindow:
        nodes = self._known_nodes()
        if nodes > self._nodes:
            self._nodes = nodes
            for budget in self._budgets.values():
                budget.minimum = self._rule.minimum / nodes
        found = self._budgets.get(pool)
        if found is None:
            found = self._budgets[pool] = self._rule.for_node(self._nodes)
        return found
