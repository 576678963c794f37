"""The xDS front (transport API v3): translation, one state machine a stream, sums of load reports, a
gRPC shell."""
