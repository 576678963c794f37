"""Configuration files in HCL; every field is checked before a process starts."""

from swiftchute.config.errors import ConfigError
from swiftchute.config.loader import load
from swiftchute.config.schema import Config

__all__ = ["Config", "ConfigError", "load"]
