"""Units of time: the loop counts in microseconds, the controller in nanoseconds."""

MS = 1000  # microseconds
SECOND = 1000 * MS
NS_PER_US = 1000
