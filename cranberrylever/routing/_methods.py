"""Classification of requests as idempotent."""

from cranberrylever.routing._view import ServiceView

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


def is_idempotent(service: ServiceView, method: str, path: str) -> bool:
    """Return whether a request may run more than once.

    The rules of a service have the form ``METHOD /path-prefix``, and the longest matching prefix decides.
    Without a match the method decides. When both kinds of rule match equally long, the request is not
    idempotent.

    Args:
        service: The service with its rules.
        method: The request method, upper case.
        path: The path below the service name, with a leading ``/``.
    """
    if not service.idempotent and not service.non_idempotent:
        return method in _IDEMPOTENT_METHODS
    idempotent_match = _longest_match(service.idempotent, method, path)
    non_idempotent_match = _longest_match(service.non_idempotent, method, path)
    if idempotent_match == non_idempotent_match == 0:
        return method in _IDEMPOTENT_METHODS
    return idempotent_match > non_idempotent_match


def _longest_match(rules: tuple[str, ...], method: str, path: str) -> int:
    longest = 0
    for rule in rules:
        rule_method, _, prefix = rule.partition(" ")
        if rule_method.upper() == method and path.startswith(prefix):
            longest = max(longest, len(prefix))
    return longest
