"""Which requests are idempotent."""

from cranberrylever.routing._view import ServiceView

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


def is_idempotent(service: ServiceView, method: str, path: str) -> bool:
    """Tell whether a request may run more than once.

    A rule of the service is ``METHOD /path-prefix``; the longest matching prefix decides. Without a match
    the method decides, and on a tie the request is not idempotent.

    Args:
        service: The service with its rules.
        method: The request method, upper case.
        path: The path below the service name, with a leading ``/``.
    """
    if not service.idempotent and not service.non_idempotent:
        return method in _IDEMPOTENT_METHODS
    repeatable = _longest_match(service.idempotent, method, path)
    single = _longest_match(service.non_idempotent, method, path)
    if repeatable == single == 0:
        return method in _IDEMPOTENT_METHODS
    return repeatable > single


def _longest_match(rules: tuple[str, ...], method: str, path: str) -> int:
    longest = 0
    for rule in rules:
        rule_method, _, prefix = rule.partition(" ")
        if rule_method.upper() == method and path.startswith(prefix):
            longest = max(longest, len(prefix))
    return longest
