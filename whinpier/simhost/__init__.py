"""Adapter that runs policies under the simulator, over its wire format."""
