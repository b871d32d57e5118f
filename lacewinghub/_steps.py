"""Cooperative scheduling of long computations: generators that pause for the event loop."""

import asyncio
from collections.abc import Callable, Generator
from typing import Any, TypeVar

T = TypeVar("T")
Job = Callable[[], Any]
# A computation that yields None to let other tasks run, or a function to call in a thread, whose
# result is sent back.
Steps = Generator[Job | None, Any, T]


async def run_in_steps(steps: Steps[T]) -> T:
    """Run a computation and return control to the event loop after each step.

    Yielded functions run in a thread. Cancelling this coroutine closes the computation at its
    current step.

    Args:
        steps: The computation.

    Returns:
        Its result.
    """
    try:
        job = next(steps)
        while True:
            try:
                found = None
                if job is None:
                    await asyncio.sleep(0)
                else:
                    found = await asyncio.to_thread(job)
            except Exception as exc:
                job = steps.throw(exc)
            else:
                job = steps.send(found)
    except StopIteration as done:
        result: T = done.value
        return result
    finally:
        steps.close()


def run_without_pauses(steps: Steps[T]) -> T:
    """Run a computation without pauses, in this thread, and return its result."""
    try:
        job = next(steps)
        while True:
            try:
                found = None if job is None else job()
            except Exception as exc:
                job = steps.throw(exc)
            else:
                job = steps.send(found)
    except StopIteration as done:
        result: T = done.value
        return result
    finally:
        steps.close()
