"""State that is kept over restarts: what a controller has learned, and the write-ahead journal of calls.

This package owns what is stored and how much of it still counts after a restart. It must never say which
servers exist, drain or are gone: that comes from the pool list alone. A file that is corrupt, too old or
another softswitch's is not used; the start is then without what it held, and nothing else is lost.
"""
