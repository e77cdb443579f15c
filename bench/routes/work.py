"""Work that a caller of a soak test asks a target for, as a part of the path of its request."""

import attrs


@attrs.frozen
class Work:
    """Seconds of work and bytes of the answer."""

    seconds: float
    answer_bytes: int = 0

    @property
    def path(self) -> str:
        """The last part of the path of a request for this work."""
        return f"work-{round(self.seconds * 1000)}-{self.answer_bytes}"


def parse_work(path: str) -> Work | None:
    """Return the work that a path asks for, ``None`` if it names none."""
    name, _, numbers = path.rpartition("/")[2].partition("-")
    if name != "work":
        return None
    milliseconds, _, answer_bytes = numbers.partition("-")
    return Work(int(milliseconds) / 1000, int(answer_bytes))


def answer_body(request_id: str, answer_bytes: int = 0) -> bytes:
    """Return the body of the answer to a request, which is at least ``answer_bytes`` long."""
    text = f"ran {request_id}".encode()
    return text + b"." * (answer_bytes - len(text))
