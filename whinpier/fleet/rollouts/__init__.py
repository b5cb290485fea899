"""Drains and releases: the replicated state machine, and the controller that drives it."""
