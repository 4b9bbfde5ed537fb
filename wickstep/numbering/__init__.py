"""Number analysis: from the number called to the servers that may take the call, in order of preference.

Nothing in this package chooses a server, retries or refuses a call: it proposes candidates, and the
controller decides.
`digits`, `index`, `schedule`, `table` and `analysis` are pure: they use no socket, no file and no clock.
"""
