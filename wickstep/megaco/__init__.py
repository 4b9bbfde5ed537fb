"""Text command speakers: callers and setup servers that speak H.248 in its text encoding.

What they say becomes the same message objects as on the binary wire and goes through the same stages;
nothing here chooses a server, tries again or refuses a call by itself. `text`, `messages`, `transactions`
and `association` are pure: no socket, no file, no clock of their own.
"""
