"""Tests of a node that is cut off while runners of a new software version join."""

from lacewinghub.fakes.platform_store import StoreFault

from .out_of_step import Fault, OutOfStepCase, add_cases

FAULTS = [
    Fault("cut from the nodes", peers_s=5.0),
    Fault("store silent", store_s=5.0),
    Fault("store busy", store_s=5.0, store=StoreFault.BUSY),
    Fault("store silent, short", store_s=2.5),
    Fault("cut from both", peers_s=5.0, store_s=5.0),
    Fault("cut from both, refused", peers_s=5.0, store_s=5.0, store=StoreFault.RESET),
    Fault("cut from both for 3 s", peers_s=3.0, store_s=3.0),
    Fault("replaced, cut from both", peers_s=1.8, store_s=1.8, replaces=True),
    Fault("replaced, cut for longer", peers_s=5.0, store_s=5.0, replaces=True),
    Fault("node starts, cut from both", peers_s=1.8, store_s=1.8, restarts=True),
    Fault("node starts, cut for longer", peers_s=5.0, store_s=5.0, restarts=True),
]


class TestCut(OutOfStepCase):
    """Guards against streams at a new version that a node takes up without knowing of it."""


add_cases(TestCut, FAULTS)
