"""Blocks of settings files, as templates for `str.format`."""

RULES_AND_CHANNEL = """rules {{
  drain_grace = "3s"
  start_capacity = 0.2
  warm_within = "8s"
  fall_multiple = 2.5
  fall_span = "2s"
  bare_limit = "3s"
}}
channel {{
  pace = 10000
  limit = 20000
  message_lines = 6
}}
"""
ONE_ZONE = (
    """service {{
  zones = ["z"]
  zone = "z"
  proxies = {proxies}
  standing_lines = 6
  seed = 7
}}
operation "read" {{
  latency_objective = "1s"
  integration_timeout = "2s"
  billed_value = 1
  repeats = "idempotent"
}}
"""
    + RULES_AND_CHANNEL
    + """reports {{
  period = "200ms"
  lines = 200
}}
"""
)
