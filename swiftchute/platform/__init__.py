"""The frontend of the users' platform: JSON lines with proxies and collectors, HTTP/1.1 with discovery.

It translates between the sockets and the policy runner, and decides nothing about endpoints, weights or
admission.
"""
