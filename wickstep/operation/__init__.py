"""Running the softswitch day to day: the operators' address, the figures, drains and upgrades.

This package owns what operators ask of one process and what they are shown. Its decisions (which state
follows, which connection goes when, what a figure counts) stand in modules without I/O; it must never decide
where a call goes, and nothing in it may wait for the loop or make the loop wait.
"""
