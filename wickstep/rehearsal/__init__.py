"""Rehearsals: several real softswitches, stand-ins for all they talk to, and scripted faults between them.

This package owns the stand-ins, the faults, and the judge who reads what crossed the sockets. Everything
is on loopback, bounded in time, and ends only what it started. It must never look into a softswitch: what
it knows of one came over a socket or is how its process ended.
"""
