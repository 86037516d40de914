"""Wire formats that routers, emulators and load generators share: RESP2, HTTP/1.1, addresses.

The package makes no decisions, opens no sockets and reads no clock. Its module `unread` asks the kernel how
long received bytes have waited on a socket.
"""
