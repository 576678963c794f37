"""The base of all errors that this program raises on purpose."""


class SwiftchuteError(Exception):
    """Base class: each package derives one base from it; the text names field, value and cause."""
