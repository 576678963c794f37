"""The admin interface: operators send commands to a running instance over its own Unix socket."""
