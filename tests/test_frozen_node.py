"""Tests of a node that stands still while runners of a new software version join."""

from .out_of_step import Fault, OutOfStepCase, add_cases

FAULTS = [
    Fault("frozen for 1.5 s", frozen_s=1.5),
    Fault("frozen for 3 s", frozen_s=3.0),
    Fault("frozen for 5 s", frozen_s=5.0),
    Fault("suspended for 5 s", frozen_s=5.0, suspended=True),
    Fault("frozen during a read", frozen_s=3.0, reads=True),
    Fault("frozen during a read for 5 s", frozen_s=5.0, reads=True),
    Fault("suspended during a read", frozen_s=5.0, suspended=True, reads=True),
    Fault(
        "frozen during a read, then cut",
        frozen_s=1.9,
        reads=True,
        peers_s=4.0,
        store_s=4.0,
        cut_after_s=1.5,
    ),
    Fault("frozen, then cut", frozen_s=1.9, peers_s=4.0, store_s=4.0, cut_after_s=1.5),
    Fault("frozen for 5 s, then cut", frozen_s=5.0, peers_s=4.0, store_s=4.0, cut_after_s=4.5),
    Fault("replaced, frozen", frozen_s=1.5, replaces=True),
]


class TestFrozen(OutOfStepCase):
    """Guards against a node that takes what it knew before it stood still for the state of now."""


add_cases(TestFrozen, FAULTS)
