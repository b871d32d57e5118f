"""Tests of lacewinghub."""
