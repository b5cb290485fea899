"""Matches requests to routes: normalization of hosts and paths, and the table of routes.

Does no I/O and knows no protocol.
"""
