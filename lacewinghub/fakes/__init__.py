"""Fakes of the users' platform, for tests and the demo. Production code must not import them."""
