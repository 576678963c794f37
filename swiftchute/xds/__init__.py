"""The xDS frontend: transport API v3 over gRPC, in its state-of-the-world and incremental variants."""
