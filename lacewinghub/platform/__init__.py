"""Adapter to the users' platform: translates its names, formats and calls.

The platform's names occur only in this package. It makes no decisions: requests, routes and
endpoints, and how they are treated, are defined by the modules outside it.
"""
