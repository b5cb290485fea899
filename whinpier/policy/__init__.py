"""The balancer's decisions: admission, retries and hedges, upstream selection, slow start.

Free of I/O and clocks: a host calls in with events and carries out what is decided.
"""
