"""Every decision of the balancer, free of I/O and clocks: selection, admission, retries, slow
start.
"""
