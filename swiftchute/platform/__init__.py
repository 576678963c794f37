"""The frontend for the users' platform: JSON lines to proxies and collectors, HTTP/1.1 to discovery.

It translates between the sockets and the policy runner. All decisions about endpoints, weights and admission
are made by the policy.
"""
