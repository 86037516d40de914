"""The outcomes of a value that broke off after its client got a part, and that others may complete."""

from __future__ import annotations

import logging

from holdgw.operation.metrics import BrokenValueOutcome, Disposition
from holdgw.router.begun_value import BeginningCheck, BegunValue, ValueDiffersError
from holdgw.router.error_answers import FAILED
from holdgw.router.exchange_owner import ExchangeOwner
from holdgw.router.open_request import OpenRequest
from holdgw.router.reply import VALUE_END

log = logging.getLogger("holdgw")


def count_resumed(owner: ExchangeOwner, request: OpenRequest) -> None:
    """Note that another endpoint's value is the begun one, whose rest it completes."""
    _stop_waiting(request)
    owner.metrics.broken_values[BrokenValueOutcome.RESUMED] += 1
    log.info("streamed value resumed class=%s", request.class_name)


def abandon_value(
    owner: ExchangeOwner,
    request: OpenRequest,
    outcome: BrokenValueOutcome = BrokenValueOutcome.ABANDONED,
) -> None:
    """Close the connection of a client whose begun value is not completed."""
    _stop_waiting(request)
    request.answered = True
    owner.metrics.broken_values[outcome] += 1
    owner.metrics.count_answer(request.class_name, Disposition.ABORTED)
    log.warning("streamed value not completed class=%s reason=%s", request.class_name, outcome.value)
    request.reply.abort_stream(FAILED)
    owner.open_requests.release_if_done(request)


def complete_begun_value(
    owner: ExchangeOwner, request: OpenRequest, begun: BegunValue, answer: bytes
) -> None:
    """Complete a begun value by `answer`, a bulk string; close the client's connection if it differs."""
    value = answer.partition(VALUE_END)[2]
    try:
        check = BeginningCheck(begun, len(value) - len(VALUE_END))
        rest = check.feed(value[: -len(VALUE_END)])
    except ValueDiffersError:
        abandon_value(owner, request, BrokenValueOutcome.DIFFERED)
        return
    count_resumed(owner, request)
    owner.metrics.count_answer(request.class_name, Disposition.SUCCEEDED)
    request.reply.reserve(len(rest), can_drop=False)
    request.reply.write_part(rest)
    request.reply.end_stream()


def _stop_waiting(request: OpenRequest) -> None:
    begun = request.begun_value
    if begun is not None and begun.resume_timer is not None:
        begun.resume_timer.cancel()
        begun.resume_timer = None
