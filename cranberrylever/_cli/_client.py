"""HTTP client of the operator API."""

import asyncio
from typing import Any, TypeVar

import aiohttp
import attrs
import msgspec

from cranberrylever.errors import ControlRefusedError, ControlUnavailableError, UnauthorizedError
from cranberrylever.settings import OperatorSettings

T = TypeVar("T")

RETRY_PAUSE_S = 0.2
MAX_REQUEST_S = 5.0
_UNAVAILABLE_REMEDY = "check --control and that a majority of control members runs"
_UNKNOWN_OUTCOME_REMEDY = (
    f"{_UNAVAILABLE_REMEDY}, then submit the same ticket again, because it may have been accepted"
)


@attrs.frozen
class _Answer:
    status: int
    content: Any


def call_control(settings: OperatorSettings, method: str, path: str, body: str | None = None) -> Any:
    """Send a request to the first control member that answers.

    A request without an answer is sent again, to the next member. That is safe for tickets, because the same
    number and content get the first answer again.

    Args:
        settings: Addresses, token and time limit.
        method: HTTP method.
        path: Path and query.
        body: Text of the request body.

    Returns:
        The decoded JSON answer.

    Raises:
        ControlUnavailableError: No member answered in time.
        ControlRefusedError: Control refused the request.
        UnauthorizedError: The token is missing or wrong.
    """
    return asyncio.run(_call(settings, method, path, body))


def read_answer(content: Any, kind: type[T]) -> T:
    """Return a decoded JSON answer as an attrs object.

    Raises:
        ControlRefusedError: The answer has another form.
    """
    try:
        return msgspec.convert(content, kind)
    except msgspec.ValidationError as error:
        raise ControlRefusedError(
            f"control sent an answer of another form: {error}", "use the version that control runs"
        ) from error


async def _call(settings: OperatorSettings, method: str, path: str, body: str | None) -> Any:
    last_problem = "no attempt was made"
    try:
        async with asyncio.timeout(settings.timeout), _session(settings) as session:
            while True:
                for address in settings.control:
                    try:
                        answer = await _send(session, address, method, path, body)
                    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                        last_problem = f"{address}: {_describe(error)}"
                        continue
                    if answer.status < 500:
                        return _content(answer, address)
                    last_problem = f"{address}: {_error_text(answer)}"
                await asyncio.sleep(RETRY_PAUSE_S)
    except TimeoutError:
        raise ControlUnavailableError(
            f"no control member answered within {settings.timeout:g} s ({last_problem})",
            _UNAVAILABLE_REMEDY if body is None else _UNKNOWN_OUTCOME_REMEDY,
        ) from None


def _session(settings: OperatorSettings) -> aiohttp.ClientSession:
    headers = {"Authorization": f"Bearer {settings.token}"} if settings.token else {}
    return aiohttp.ClientSession(headers=headers, timeout=aiohttp.ClientTimeout(total=MAX_REQUEST_S))


async def _send(
    session: aiohttp.ClientSession, address: str, method: str, path: str, body: str | None
) -> _Answer:
    data = None if body is None else body.encode()
    async with session.request(
        method, f"http://{address}{path}", data=data, allow_redirects=False
    ) as response:
        return _Answer(response.status, await response.json(content_type=None))


def _content(answer: _Answer, address: str) -> Any:
    if answer.status == 200:
        return answer.content
    if answer.status == 401:
        raise UnauthorizedError(f"{address} refused the token", "set --token to the token of control")
    fields = answer.content if isinstance(answer.content, dict) else {}
    raise ControlRefusedError(_error_text(answer), str(fields.get("remedy") or "correct the request"))


def _error_text(answer: _Answer) -> str:
    fields = answer.content if isinstance(answer.content, dict) else {}
    return str(fields.get("error") or f"status {answer.status}")


def _describe(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return f"no answer within {MAX_REQUEST_S:g} s"
    if isinstance(error, aiohttp.ClientConnectorError):
        return f"can't connect: {error.os_error.strerror or error.os_error}"
    return " ".join(str(error).split()) or type(error).__name__
