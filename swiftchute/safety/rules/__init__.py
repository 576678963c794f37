"""The rules of the validator, one module each: what the rule limits, and how it corrects a table."""
