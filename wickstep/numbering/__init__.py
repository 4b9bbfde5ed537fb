"""Number analysis: from the number called to the servers that may take the call, in order.

Nothing in this package chooses a server, tries again or refuses: it proposes candidates, and the controller
decides.
`digits`, `index`, `schedule`, `table` and `analysis` are pure: no socket, no file, no clock of their own.
"""
