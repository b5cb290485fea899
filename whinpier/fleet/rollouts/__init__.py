"""Drains and rollouts: the replicated state machine, and the leader's controller that drives it."""
