"""The base of all errors that this program raises on purpose."""


class SwiftchuteError(Exception):
    """Base class of each package's base error; error texts name field, value and cause."""
