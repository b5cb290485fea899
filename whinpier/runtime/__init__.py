"""What carries the decisions: loop, pools, what they share, the life of the process. No protocol's
bytes.
"""
