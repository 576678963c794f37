"""The command line: `swiftchute`, the same as `python -m swiftchute`."""
