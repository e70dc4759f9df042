"""Tests of requests whose client goes away before they are whole."""

from typing import Any

import pytest

from cranberrycleat.asgi import Answer, ClientDisconnected, RpcApp, read_body
from tests.fakes import run_async

PART = {"type": "http.request", "body": b'{"spec":"x"}', "more_body": True}
GONE = {"type": "http.disconnect"}


def receive_from(*messages: dict[str, Any]) -> Any:
    """Return an ASGI `receive` that returns these messages."""
    left = iter(messages)

    async def receive() -> dict[str, Any]:
        return next(left)

    return receive


# Guards against a job that runs although its request was never whole: what had arrived
# may be a whole job by itself (REFUSED).
@pytest.mark.parametrize("messages", [(GONE,), (PART, GONE)])
def test_body_that_breaks_off_is_no_body(messages: tuple[dict[str, Any], ...]) -> None:
    with pytest.raises(ClientDisconnected):
        run_async(read_body(receive_from(*messages)))


def test_request_that_breaks_off_is_not_handled() -> None:
    handled: list[bytes] = []

    async def handle(body: bytes) -> Answer:
        handled.append(body)
        return Answer(message=b"{}")

    async def send(message: Any) -> None:
        handled.append(b"answered")

    app = RpcApp(handlers={"/v1/submit": handle})
    scope = {"type": "http", "path": "/v1/submit"}
    run_async(app(scope, receive_from(PART, GONE), send))
    assert handled == []


def test_body_over_its_limit_is_not_read_to_its_end() -> None:
    """It may have no end."""
    messages = receive_from(PART, PART)
    assert run_async(read_body(messages, max_bytes=20)) is None
