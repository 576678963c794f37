# One planner of two, for three zones. Every duration and size carries its unit.

service {
  zones          = ["north", "south", "west"]
  zone           = "north"
  planner        = 0
  planners       = 2
  proxies        = 24
  standing_lines = 6
  avoids_after   = 5
  seed           = 7
}

operation "lot-estimate" {
  latency_objective   = "1200ms"
  integration_timeout = "4s"
  billed_value        = 3
  late_value          = 0.2
  repeats             = "idempotent"
}

operation "reserve-refresh" {
  latency_objective   = "1500ms"
  integration_timeout = "5s"
  billed_value        = 2
  late_value          = 0.2
  repeats             = "idempotent"
  writes              = true
}

rules {
  drain_grace    = "3s"
  start_capacity = 0.2
  warm_within    = "16s"
  fall_multiple  = 2.5
  fall_span      = "2s"
  bare_limit     = "4s"
}

channel {
  pace           = 2000 # lines a second
  limit          = 4000 # lines that may wait
  message_lines  = 6    # what a message costs by itself
  message_limit  = 30   # messages to a proxy within the window
  message_window = "10s"
}

reports {
  period = "1s"
  lines  = 200 # lines of sums a second that the module is given
}

prices {
  crossing = 0.05
}

list "file" {
  path = "examples/workers.json" # Prometheus file_sd
}

xds {
  listen      = "127.0.0.1:18000"
  max_message = "4MiB"
}

guard {
  mode = "enforce" # or "warn", or "off"
}

control {
  socket = "/tmp/swiftchute-planner.sock" # for `swiftchute guard explain` and the like; its owner alone may use it
}

dns { # a second front: the same tables as SRV and address answers
  listen = "127.0.0.1:18053"
  origin = "lots.example."
  views  = ["south 127.0.0.1:18054", "west 127.0.0.1:18055"]
}
