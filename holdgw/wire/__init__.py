"""Wire formats that routers, emulators and load generators share: RESP2, HTTP/1.1, addresses."""
