"""What one process leaves to the next: what it had learned, in files that may be spoilt, old or another's.

This package owns what is kept and how much of it still counts. Which servers there are, drain or are gone
comes from the list alone; nothing here may say so. Where a file cannot be used the start is fresh, which
costs the learning and nothing else.
"""
