"""Types that the policy shares with its callers: endpoint records, events, commands, settings and errors.

Times are whole nanoseconds unless a field's name ends in another unit. Identifiers of endpoints, proxies,
tables and peers are passed on as the transport delivered them.
"""
