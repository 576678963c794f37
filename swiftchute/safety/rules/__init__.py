"""The rules of the validator, one module each: what each one limits, and how a table is corrected."""
