"""Membership of the fleet (SWIM with Lifeguard), as a state machine without I/O."""
