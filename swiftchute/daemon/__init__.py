"""The long-running processes (control plane instance, proxy): they connect components, event loop and log."""
