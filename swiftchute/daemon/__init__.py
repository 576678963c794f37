"""Processes: a control plane instance, and a proxy. They connect the parts to the event loop and the log."""
