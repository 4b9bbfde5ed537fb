"""H.248 (MEGACO) in its text encoding, for callers and setup servers that do not speak the binary protocol.

What a peer sends is to become the same message objects as on the binary protocol and to pass through the same
stages; this package must never select a server, retry or refuse a call by itself. Its modules use no socket,
no file and no clock of their own.
"""
