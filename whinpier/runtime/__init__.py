"""Hosts the policy in a process: event loop, pools, resource budget, start, reload and shutdown.

Speaks no protocol: the transports in whinpier/http and whinpier/radius do.
"""
