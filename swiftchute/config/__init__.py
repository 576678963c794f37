"""Configuration files in HCL, checked field by field before anything starts."""

from swiftchute.config.errors import ConfigError
from swiftchute.config.loader import load
from swiftchute.config.schema import Config

__all__ = ["Config", "ConfigError", "load"]
