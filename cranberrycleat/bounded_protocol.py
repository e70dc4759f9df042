"""uvicorn's HTTP protocol with limits on what a client may send, and on how slowly.

uvicorn parses everything that it has read, and queues the requests that follow the one
in progress. Here bytes are parsed up to the end of one request; the rest waits
unparsed, and reading stops, until the request's answer has been sent. Heads, trailers
and the encoding of bodies are counted while they are parsed. `connection_budget` sets
the time limits and bounds what all connections hold together.
"""

import asyncio
from typing import Any, Final

import httptools
import msgspec
from uvicorn.protocols.http import httptools_impl
from uvicorn.protocols.http.flow_control import FlowControl

from cranberrycleat.connection_budget import CloseReason, ConnectionBudget, Phase

MESSAGE_END: Final = b"\r\n\r\n"
"""The end of a head without a body, and of a chunked body with its trailers. The parser
accepts no other."""
OVERLAP_BYTES: Final = len(MESSAGE_END) - 1
"""How many bytes of `MESSAGE_END` may be parsed before the rest has arrived."""
FIELD_BYTES: Final = 150
"""Memory that a header field takes besides its bytes."""
PART_BYTES: Final = 64
"""Memory that a part of a body takes besides its bytes."""
MAX_LENGTH_DIGITS: Final = 18
RETRY_AFTER_S: Final = 1
REFUSALS: Final = {
    CloseReason.HEAD_TOO_LARGE: 431,
    CloseReason.TOO_MANY_FIELDS: 431,
    CloseReason.FRAMING_TOO_LARGE: 431,
    CloseReason.BODY_TOO_LARGE: 413,
    CloseReason.MALFORMED: 400,
    CloseReason.TOO_MANY_BYTES: 503,
}
"""The status that tells a client why its connection is closed."""
STATUS_LINES: Final = httptools_impl.STATUS_LINE


class _PausableFlow(FlowControl):
    """Flow control that reads nothing while bytes wait to be parsed.

    Attributes:
        has_unparsed: Whether bytes wait to be parsed.
    """

    has_unparsed: bool = False

    def resume_reading(self) -> None:
        """Resume reading, unless bytes wait to be parsed."""
        if not self.has_unparsed:
            super().resume_reading()


class BoundedProtocol(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """One client connection.

    Attributes:
        budget: What all connections of the process hold.
        address: The name of the address that it was accepted on.
    """

    flow: _PausableFlow

    def __init__(
        self, *args: Any, budget: ConnectionBudget, address: str, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.budget = budget
        self.address = address
        self._limits = budget.limits
        self._read = b""
        self._parsed = 0
        self._refused = False
        self._is_replaying = False
        self._reset_request()

    def _reset_request(self) -> None:
        """Forget the last request."""
        self._in_head = True
        self._is_whole = False
        self._fault: CloseReason | None = None
        self._head_bytes = 0
        self._framing_bytes = 0
        self._encoded_body_bytes = 0
        self._body_bytes = 0
        self._overhead_bytes = 0
        self._body_left = 0
        self._is_chunked = False

    # --- events of the transport ----------------------------------------------

    def connection_made(self, transport: Any) -> None:
        """Start serving a connection, or close it if there are too many."""
        super().connection_made(transport)
        self.flow = _PausableFlow(transport)
        # An answer that was not sent at once is reported, and ends when it was sent.
        transport.set_write_buffer_limits(high=0)
        if not self.budget.add(self, self.address):
            self._refused = True
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        self.budget.remove(self)
        self._drop_unparsed()
        super().connection_lost(exc)

    def end(self) -> None:
        """Close the connection immediately."""
        self._refused = True
        if self.transport.get_write_buffer_size() or self._is_in_progress():
            self._cancel_request()
            self.transport.abort()
        else:
            self.transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self.budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read into the buffer."""
        self.data_received(bytes(self.budget.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what was read, up to the end of a request."""
        if self._refused:
            return
        # Parsed bytes are kept as far as an end may begin with them.
        kept = max(0, self._parsed - OVERLAP_BYTES)
        self._read = self._read[kept:] + data
        self._parsed -= kept
        if not self._in_head:
            self._overhead_bytes += PART_BYTES
        self._parse()

    def pause_writing(self) -> None:
        """Wait for the client to read an answer."""
        super().pause_writing()
        self.budget.enter(self, Phase.ANSWER)
        self._hold()

    def resume_writing(self) -> None:
        """Go on once the client has read an answer."""
        super().resume_writing()
        if self._refused or self.transport.is_closing():
            return
        self.budget.enter(self, self._phase())
        self._hold()
        if not self._is_in_progress():
            self._parse()

    # --- parsing --------------------------------------------------------------

    def _is_in_progress(self) -> bool:
        """Return whether a request has begun to be handled and is not answered yet."""
        return self.cycle is not None and not self.cycle.response_complete

    def _is_answer_unread(self) -> bool:
        return self.flow.write_paused

    def _phase(self) -> Phase:
        """Return the phase by what was parsed."""
        if self._is_whole:
            return Phase.REQUEST if self._is_in_progress() else Phase.IDLE
        if not self._in_head:
            return Phase.BODY
        return Phase.HEAD if self._head_bytes else Phase.IDLE

    def _parse(self) -> None:
        """Parse the waiting bytes, request by request, as far as they may be."""
        while self._has_unparsed() and not self._refused:
            if self.transport.is_closing():
                self._drop_unparsed()
                break
            if self._is_whole:
                if self._is_in_progress() or self._is_answer_unread():
                    break
                self._reset_request()
            start, self._parsed = self._parsed, self._next_end()
            self._parse_part(self._read[start : self._parsed])
        self.flow.has_unparsed = self._has_unparsed()
        if self.flow.has_unparsed:
            self.flow.pause_reading()
        elif not self._refused:
            self.flow.resume_reading()
        if not self._refused:
            self._hold()

    def _has_unparsed(self) -> bool:
        return self._parsed < len(self._read)

    def _drop_unparsed(self) -> None:
        self._read = b""
        self._parsed = 0

    def _next_end(self) -> int:
        """Return the index in what was read up to which to parse next.

        It is where the current request may end, or else the end of what was read.
        """
        if not self._in_head and self._body_left:
            return min(self._parsed + self._body_left, len(self._read))
        found = self._read.find(MESSAGE_END, max(0, self._parsed - OVERLAP_BYTES))
        return len(self._read) if found < 0 else found + len(MESSAGE_END)

    def _parse_part(self, part: bytes) -> None:
        was_in_head = self._in_head
        if was_in_head:
            self._head_bytes += len(part)
            if self._head_bytes > self._limits.max_head_bytes:
                self.refuse(CloseReason.HEAD_TOO_LARGE)
                return
        else:
            self._encoded_body_bytes += len(part)
            self._body_left = max(0, self._body_left - len(part))
        body_bytes = self._body_bytes
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade as exc:
            self._parsed -= len(part) - exc.args[0]
            self._ignore_upgrade()
        except httptools.HttpParserError:
            self.refuse(self._fault or CloseReason.MALFORMED)
            return
        if not was_in_head:
            if self._is_chunked:
                has_grown = self._body_bytes > body_bytes
                framing = 0 if has_grown else self._framing_bytes + len(part)
                self._framing_bytes = framing
            self._fault = self._body_fault()
        if self._fault is not None:
            self.refuse(self._fault)
            return
        if not self._is_answer_unread():
            self.budget.enter(self, self._phase())

    def _body_fault(self) -> CloseReason | None:
        """Return which limit the encoding of a body exceeds.

        The parser collects a trailer whole before it reports it, so that the bytes are
        counted instead of the fields.
        """
        if self._encoded_body_bytes > self._limits.max_encoded_body_bytes:
            return CloseReason.BODY_TOO_LARGE
        if self._framing_bytes > self._limits.max_head_bytes:
            return CloseReason.FRAMING_TOO_LARGE
        return None

    def _ignore_upgrade(self) -> None:
        """Go on with HTTP/1.1 behind a request to change the protocol (RFC 9110, 7.8).

        The parser stops behind the head of such a request, so another one takes over.
        It is given a head with the same body, whose events are dropped.
        """
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        if not self._has_body():
            return
        encoding = b"content-length: %d" % self._body_left
        if self._is_chunked:
            encoding = b"transfer-encoding: chunked"
        self._is_replaying = True
        self.parser.feed_data(b"POST / HTTP/1.1\r\n" + encoding + b"\r\n\r\n")
        self._is_replaying = False

    def _has_body(self) -> bool:
        return self._is_chunked or self._body_left > 0

    def _hold(self) -> None:
        """Report what the connection holds; refuse the request if it may not.

        Unparsed bytes do not count: they take one read at most, which a connection may
        hold anyway, and are no reason to refuse the request before them.
        """
        held = self.transport.get_write_buffer_size()
        if not self._is_whole or self._is_in_progress():
            held += self._head_bytes + self._body_bytes
            held += self._framing_bytes + self._overhead_bytes
        if not self.budget.hold(self, held):
            self.refuse(CloseReason.TOO_MANY_BYTES)

    # --- events of the parser -------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        if not self._is_replaying:
            super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        if not self._is_replaying:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of the head; drop trailers, which no handler reads."""
        if self._is_replaying or not self._in_head:
            return
        if len(self.headers) >= self._limits.max_fields:
            self._fault = CloseReason.TOO_MANY_FIELDS
            return
        self._overhead_bytes += FIELD_BYTES
        match name.lower():
            case b"content-length" if len(value) <= MAX_LENGTH_DIGITS:
                self._body_left = int(value)
            case b"transfer-encoding":
                self._is_chunked = True
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start handling a request whose head is whole."""
        if self._fault is not None or self._is_replaying:
            return
        self._in_head = False
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on to the handler."""
        if self._is_in_progress():
            self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that a request is whole."""
        if self.parser.should_upgrade() and self._has_body():
            return
        self._is_whole = True
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with the next request once an answer was given to the transport."""
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        if not self._is_whole and not self._is_rest_small():
            self._linger()
            return
        if not self._is_answer_unread():
            self.budget.enter(self, self._phase())
        self.loop.call_soon(self._parse)

    def _is_rest_small(self) -> bool:
        is_known = not self._is_chunked
        return is_known and self._body_left <= self._limits.max_skipped_body_bytes

    # --- refusals -------------------------------------------------------------

    def refuse(self, reason: CloseReason) -> None:
        """Refuse a request that is not whole, and close the connection.

        The request was not run and never will be: its handler is told that the client
        is gone before it has the whole body.
        """
        if self._refused or self.transport.is_closing():
            return
        self.budget.count(self.address, reason)
        is_answered = self.cycle is not None and self.cycle.response_started
        is_between = self.cycle is None or self.cycle.response_complete
        self._refused = True
        self._cancel_request()
        if self._is_answer_unread() or (is_answered and not is_between):
            self.transport.abort()
            return
        body = msgspec.json.encode({"reason": reason.value})
        status = REFUSALS[reason]
        head = [
            STATUS_LINES[status],
            b"content-type: application/json\r\n",
            b"content-length: %d\r\n" % len(body),
            b"connection: close\r\n",
        ]
        if reason is CloseReason.TOO_MANY_BYTES:
            head.append(b"retry-after: %d\r\n" % RETRY_AFTER_S)
        self.transport.write(b"".join([*head, b"\r\n", body]))
        self._linger()

    def _cancel_request(self) -> None:
        """Tell the handler of a request in progress that the client is gone."""
        if self._is_in_progress():
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def _linger(self) -> None:
        """Close the connection once the client has had time to read the answer.

        Closing it at once, with bytes unread, would reset it, and the client might lose
        the answer. Until then everything that arrives is dropped.
        """
        self._refused = True
        self._drop_unparsed()
        self.flow.has_unparsed = False
        self.budget.hold(self, self.transport.get_write_buffer_size())
        self.budget.enter(self, Phase.CLOSING)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.flow.resume_reading()
