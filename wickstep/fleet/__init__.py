"""A discrete-event model of a fleet: hundreds of real controllers on a virtual clock, against setup servers
that have one processor with a single queue each.

It serves to compare designs; the effect of a change is shown with real processes.
"""
