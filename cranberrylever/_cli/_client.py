"""HTTP client of the operator API."""

import asyncio
from typing import Any, TypeVar

import aiohttp
import attrs
import msgspec

from cranberrylever.errors import ControlRefusedError, ControlUnavailableError, UnauthorizedError
from cranberrylever.http_status import is_final
from cranberrylever.settings import OperatorSettings

T = TypeVar("T")

RETRY_DELAY_S = 0.2
REQUEST_TIMEOUT_S = 5.0
_SERVER_ERROR = 500
_UNAVAILABLE_REMEDY = "check --control and that a majority of control members is running"
_UNKNOWN_OUTCOME_REMEDY = (
    f"{_UNAVAILABLE_REMEDY}, then submit the same ticket again, because it may have been accepted"
)


@attrs.frozen
class _Response:
    """Status and decoded JSON body of a response."""

    status: int
    content: Any


def call_control(settings: OperatorSettings, method: str, path: str, body: str | None = None) -> Any:
    """Send a request to the control members in turn until one of them answers it.

    A request without a response, or with a status of 500 or above or one that does not exist, is retried at
    the next member. Retrying a ticket is safe, because a ticket with the same number and content gets the
    answer of the first submission.

    Args:
        settings: Addresses, token and timeout.
        method: HTTP method.
        path: Path and query of the URL.
        body: Request body; ``None`` for none.

    Returns:
        The decoded JSON response.

    Raises:
        ControlUnavailableError: No member answered within the timeout.
        ControlRefusedError: Control refused the request.
        UnauthorizedError: The token is missing or invalid.
    """
    return asyncio.run(_call_members(settings, method, path, body))


def read_answer(content: Any, expected_type: type[T]) -> T:
    """Convert a decoded JSON response to ``expected_type``.

    Raises:
        ControlRefusedError: The response does not fit ``expected_type``.
    """
    try:
        return msgspec.convert(content, expected_type)
    except msgspec.ValidationError as error:
        raise ControlRefusedError(
            f"control sent an unexpected response: {error}", "use the version that control runs"
        ) from error


async def _call_members(settings: OperatorSettings, method: str, path: str, body: str | None) -> Any:
    last_error = "no request was sent"
    try:
        async with asyncio.timeout(settings.timeout), _session(settings) as session:
            while True:
                for address in settings.control:
                    try:
                        response = await _send_request(session, address, method, path, body)
                    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                        last_error = f"{address}: {_describe_error(error)}"
                        continue
                    if is_final(response.status) and response.status < _SERVER_ERROR:
                        return _response_content(response, address)
                    last_error = f"{address}: {_error_text(response)}"
                await asyncio.sleep(RETRY_DELAY_S)
    except TimeoutError:
        raise ControlUnavailableError(
            f"no control member answered within {settings.timeout:g} s ({last_error})",
            _UNAVAILABLE_REMEDY if body is None else _UNKNOWN_OUTCOME_REMEDY,
        ) from None


def _session(settings: OperatorSettings) -> aiohttp.ClientSession:
    headers = {"Authorization": f"Bearer {settings.token}"} if settings.token else {}
    return aiohttp.ClientSession(headers=headers, timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S))


async def _send_request(
    session: aiohttp.ClientSession, address: str, method: str, path: str, body: str | None
) -> _Response:
    data = None if body is None else body.encode()
    async with session.request(
        method, f"http://{address}{path}", data=data, allow_redirects=False
    ) as response:
        return _Response(response.status, await response.json(content_type=None))


def _response_content(response: _Response, address: str) -> Any:
    if response.status == 200:
        return response.content
    if response.status == 401:
        raise UnauthorizedError(f"{address} refused the token", "set --token to the token of control")
    fields = response.content if isinstance(response.content, dict) else {}
    raise ControlRefusedError(_error_text(response), str(fields.get("remedy") or "correct the request"))


def _error_text(response: _Response) -> str:
    fields = response.content if isinstance(response.content, dict) else {}
    return str(fields.get("error") or f"status {response.status}")


def _describe_error(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return f"no answer within {REQUEST_TIMEOUT_S:g} s"
    if isinstance(error, aiohttp.ClientConnectorError):
        return f"cannot connect: {error.os_error.strerror or error.os_error}"
    return " ".join(str(error).split()) or type(error).__name__
