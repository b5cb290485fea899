"""Stand-ins for what a balancer meets: upstreams, clients and a list, with scripted faults and
ledgers.

For tests, benchmarks and the demo; loopback addresses only. The balancer never imports any of it.
"""
