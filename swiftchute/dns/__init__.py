"""The DNS front: the same tables as SRV and address answers. Cores without I/O, and a UDP and TCP shell."""
