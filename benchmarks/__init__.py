"""`python -m benchmarks.NAME [--short] [--seed N] [--json FILE]`: exit 0 if all bounds hold,
else 1.
"""
