"""The replicated log of the fleet's voters (Raft)."""
