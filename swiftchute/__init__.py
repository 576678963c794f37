"""swiftchute: a control plane that lays tables, health and levels for a service's plain proxies."""
