# A proxy beside one client process: what comes to it goes where a planner's tables say.

proxy {
  name     = "gw-1"
  zone     = "north"
  listen   = "127.0.0.1:18100"
  planners = ["127.0.0.1:18000"]
  pick     = "weight" # or "rotate", or "two-choices"
  keep     = "/tmp/swiftchute-gw-1.tables" # the last tables, for a start at which no planner answers
}

operation "lot-estimate" {
  timeout = "4s"
  repeats = "idempotent"
}

operation "reserve-refresh" {
  timeout = "5s"
  repeats = "side-effecting"
}
