"""Stand-ins for drills: price workers, gateways, and a relay that troubles what passes between them."""
