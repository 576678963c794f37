"""HCL in, checked settings out: `load(path)` gives a `Config` or raises `BadConfig` with all that is
wrong."""

from swiftchute.config.schema import BadConfig, Config, load

__all__ = ["BadConfig", "Config", "load"]
