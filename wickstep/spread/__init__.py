"""Measures how evenly a fleet of softswitches loads its setup servers: record, measures, report.

`serve` loads no module of this package except `reasons`. Only `logs` handles outside input, the log lines of
softswitches; no other module does I/O.
"""
