"""Which processes are in the fleet (SWIM with Lifeguard): a state machine free of I/O."""
