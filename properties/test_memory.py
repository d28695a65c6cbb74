"""Bodies of requests stay in their budget of bytes, and give all of it back."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from flamingohead.core.memory import ByteBudget
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.testing.http import parse_responses
from flamingohead.testing.transports import FakeTransport

LIMIT = 1000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(("send", "part", "answer", "lose")),
        st.integers(0, 3),
        st.integers(1, 600),
    ),
    max_size=30,
)


class TestByteBudget:
    @given(actions=ACTIONS)
    @settings(max_examples=200)
    def test_budget_is_kept_and_given_back(self, actions):
        budget = ByteBudget(LIMIT)
        bodies = []
        active = []

        def handle(request, response):
            bodies.append(request.body)
            active.append(response)

        factory = HttpServerFactory(handle, lambda refusal: None, budget)
        factory.call_soon = lambda function: None
        callers = [FakeTransport(factory.buildProtocol(None)) for _ in range(4)]
        for action, number, size in actions:
            caller = callers[number]
            if action == "send":
                caller.deliver(HEAD % size + b"x" * size)
            elif action == "part":
                caller.deliver(HEAD % (size + 1) + b"x" * size)
            elif action == "answer" and active:
                active.pop(0).send(200, [], b"")
            elif action == "lose":
                caller.disconnect()
            assert 0 <= budget.reserved_bytes <= LIMIT
            statuses = [r.status for r in parse_responses(caller.written)]
            assert set(statuses) <= {200, 400, 503}
        for caller in callers:
            caller.disconnect()
        assert budget.reserved_bytes == 0
