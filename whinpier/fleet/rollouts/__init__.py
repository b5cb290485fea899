"""Drains and rollouts: the replicated state machine, and the controller that its leader runs."""
