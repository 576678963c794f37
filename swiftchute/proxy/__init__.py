"""The data-plane proxy: routes requests by the endpoint tables that the control plane publishes.

`request.RequestRouter` makes the routing decisions and `xds_client.XdsClient` holds the received tables, both
without I/O; `server.ProxyServer` and `control_client.ControlPlaneClient` own the sockets.
"""
