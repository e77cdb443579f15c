"""Tests of the limit on the memory of answers, without I/O."""

import collections

import testtools

from cranberrylever.answer_memory import AnswerMemory

ANSWER_BYTES = 1_000_000
LIMIT = 64 * 1_048_576
READERS = 200
READ_RATE = 50_000.0
KERNEL_BYTES = 200_000
TICK_S = 0.05
WORK_TICKS = 2


class Readers:
    """Model of callers that ask again as soon as they have read an answer, and of targets that always answer.

    The kernel takes ``kernel_bytes`` of each answer at once.
    """

    def __init__(self, memory, count, rate, kernel_bytes):
        self.memory = memory
        self.rate = rate
        self.kernel_bytes = kernel_bytes
        self.idle = count
        self.running = collections.deque()
        self.reading = []
        self.ready = []
        self.served = 0
        self.refused = 0

    def step(self):
        for _ in range(self.idle):
            if self.memory.is_full(len(self.running)):
                self.refused += 1
                continue
            self.idle -= 1
            self.running.append([WORK_TICKS, None])
        for item in self.running:
            item[0] -= 1
            if item[0] == 0:
                item[1] = self.memory.reserve(ANSWER_BYTES, lambda: None)
        for item in [item for item in self.running if item[1] and item[1].is_reserved]:
            self.running.remove(item)
            item[1] = None  # the answer is now in the buffer of its caller's connection
            self.write()
        self.read()

    def write(self):
        self.memory.record_answer()
        unsent = max(0, ANSWER_BYTES - self.kernel_bytes)
        self.memory.record_unsent(unsent)
        self.memory.change(unsent)
        self.reading.append(unsent)

    def read(self):
        taken = int(self.rate * TICK_S)
        left = []
        for unsent in self.reading:
            self.memory.change(-min(unsent, taken))
            if unsent > taken:
                left.append(unsent - taken)
            else:
                self.served += 1
                self.idle += 1
        self.reading = left


class AnswerMemoryTest(testtools.TestCase):
    def test_slow_readers_never_hold_more_than_the_limit(self):
        """Guards against an entry that runs out of memory because its callers read slowly."""
        memory = AnswerMemory(LIMIT)
        readers = Readers(memory, READERS, READ_RATE, KERNEL_BYTES)
        for _ in range(round(90.0 / TICK_S)):
            readers.step()
        assert memory.peak <= LIMIT + ANSWER_BYTES, memory.peak
        # 64 MiB are read in about 20 s at 80 x 50 kB.
        assert readers.served > 250, readers.served
        assert readers.refused > 0

    def test_fast_readers_of_large_answers_are_not_refused(self):
        """Guards against a limit that refuses requests whose answers leave at once."""
        memory = AnswerMemory(LIMIT)
        readers = Readers(memory, READERS, 20 * ANSWER_BYTES, ANSWER_BYTES)
        for _ in range(round(10.0 / TICK_S)):
            readers.step()
        assert readers.refused == 0, readers.refused
        assert readers.served > 10_000, readers.served

    def test_requests_are_admitted_again_after_slow_readers_have_left(self):
        """Guards against an entry that refuses for good because no answer corrects what it expects."""
        memory = AnswerMemory(LIMIT)
        slow = Readers(memory, READERS, READ_RATE, KERNEL_BYTES)
        for _ in range(round(5.0 / TICK_S)):
            slow.step()
        slow.idle = -READERS  # they ask no more
        while slow.running or slow.reading:
            slow.step()
        fast = Readers(memory, READERS, 20 * ANSWER_BYTES, ANSWER_BYTES)
        for _ in range(round(2.0 / TICK_S)):
            fast.step()
        assert fast.idle + len(fast.running) + len(fast.reading) == READERS
        refused = fast.refused
        for _ in range(round(2.0 / TICK_S)):
            fast.step()
        assert fast.refused == refused, (refused, fast.refused)

    def test_answers_wait_in_order_and_give_their_place_back(self):
        """Guards against an answer that waits for good, or whose memory is counted after it is gone."""
        memory = AnswerMemory(10)
        started = []
        first = memory.reserve(8, lambda: started.append(1))
        second = memory.reserve(8, lambda: started.append(2))
        third = memory.reserve(1, lambda: started.append(3))
        assert (first.is_reserved, second.is_reserved, third.is_reserved) == (True, False, False)
        memory.cancel(second)
        assert started == [3]
        del first, third
        assert memory.held == 0
        assert memory.reserve(99, lambda: None).is_reserved  # larger than the limit, but alone
