"""Files: reads within bounds, and append-only logs that outlive the process."""
