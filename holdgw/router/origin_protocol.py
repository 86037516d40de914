"""The origin's use of HTTP/1.1: targets, header names and the requests sent to it."""

from __future__ import annotations

from urllib.parse import quote

from holdgw.wire import http
from holdgw.wire.address import Address
from holdgw.wire.resp import Command

UNQUOTED_IN_TARGET = "/:@!$&'()*+,;=-._~"  # RFC 3986, section 3.3: characters allowed in a path
LOAD_REPORT_HEADER = b"server-load"
NOT_STARTED_HEADER = b"not-started"
NOT_STARTED = b"1"
LOAD_REPORT_TARGET = "/stats"
LIVENESS_TARGET = "/health/live"


def encode_request(command: Command, timeout_ms: int, address: Address) -> bytes:
    """Encode a client's command as GET or PUT, with `timeout_ms` milliseconds (1 or more) as its `d`."""
    method = "GET" if command.value is None else "PUT"
    target = "/" + quote(command.key, safe=UNQUOTED_IN_TARGET)
    info = command.info.with_timeout(timeout_ms)
    headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (command.id, info)
    return http.request(method, target, f"{address[0]}:{address[1]}", headers, command.value)


def encode_health_check(with_load_report: bool, address: Address) -> bytes:
    """Encode a health check, which asks for a load report or for the origin's liveness."""
    target = LOAD_REPORT_TARGET if with_load_report else LIVENESS_TARGET
    return http.request("GET", target, f"{address[0]}:{address[1]}")
