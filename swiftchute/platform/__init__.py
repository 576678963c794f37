"""The platform's front: line-delimited JSON with proxies and collectors, HTTP/1.1 with discovery. It
translates between the sockets and the round loop, and decides nothing about servers, weights or levels."""
