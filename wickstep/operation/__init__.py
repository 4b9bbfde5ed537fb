"""Operating one softswitch process: the operators' address, metrics, drains and the handover on an upgrade.

This package owns what operators ask of one process and what they are shown. Its decisions (the next state,
when a connection is closed, what a metric counts) are in modules without I/O. It must never decide where a
call goes, and nothing in it may wait for the loop or make the loop wait.
"""
