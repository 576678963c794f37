"""The data-plane proxy: routes requests by the tables that the control plane publishes.

`request.RequestRouter` decides what happens to a request and `xds_client.XdsClient` holds the received
tables, both without I/O; `server.ProxyServer` and `control_client.ControlPlaneClient` own the sockets.
"""
