"""Units of time: all times of the policy are whole nanoseconds."""

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
