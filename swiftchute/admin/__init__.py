"""The admin interface: operators send commands to a running instance over a Unix socket of its own."""
