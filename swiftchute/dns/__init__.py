"""The DNS frontend: serves tables as SRV and address records. Only `server` does I/O, on UDP and TCP."""
