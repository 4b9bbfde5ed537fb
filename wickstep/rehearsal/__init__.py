"""Rehearsals: fault injection against several real softswitch processes on loopback.

This package owns the stand-ins for every peer of a softswitch, the faults, and the judge, which checks the
rules on what crossed the sockets. A rehearsal is bounded in time and ends only processes that it started. It
must never look into a softswitch: it knows only what came over a socket and how the process ended.
"""
