"""Tests of the limit on the memory of request bodies, without I/O."""

import random

import testtools

from cranberrylever.body_memory import WAITING_SHARE, BodyMemory

UPLOADS_PER_S = 60.0
PEAK_UPLOADS_PER_S = 2.4 * UPLOADS_PER_S / 42
MIN_BYTES = 20_000
MEAN_BYTES = 60_000
MAX_BYTES = 360_000
LINK_BYTES_PER_S = 250_000.0
LIMIT = 15_000_000
DEADLINE_S = 9.0
WORK_S = 0.33
TICK_S = 0.02


class Upload:
    """A body that a caller sends, and its place in the memory."""

    def __init__(self, size, arrived_at):
        self.size = size
        self.arrived_at = arrived_at
        self.rest = float(size)
        self.place = None
        self.reserved_at = None
        self.read_at = None


class EntryModel:
    """Model of an entry that gets uploads over links of their callers, or all over one shared link.

    ``returned`` has the bodies that came back after the time that their refusal stated, and ``refused_again``
    those of them that were refused once more.
    """

    def __init__(self, memory, seed, shares_link):
        self.memory = memory
        self.rng = random.Random(seed)
        self.shares_link = shares_link
        self.uploads = []
        self.coming_back = []
        self.refused = self.returned = self.refused_again = self.ended = self.late = 0

    def run(self, seconds, rate):
        for tick in range(round(seconds / TICK_S)):
            now = tick * TICK_S
            if self.rng.random() < rate * TICK_S:
                self.begin(
                    min(MAX_BYTES, int(MIN_BYTES + self.rng.expovariate(1 / (MEAN_BYTES - MIN_BYTES)))), now
                )
            self.take_returned(now)
            self.read(now)

    def begin(self, size, now, came_back=False):
        delay = self.memory.refusal_delay(size, DEADLINE_S)
        if delay is not None:
            self.refused += 1
            self.refused_again += came_back
            if not came_back:
                self.coming_back.append((now + delay, size))
            return
        upload = Upload(size, now)
        upload.place = self.memory.reserve(size, lambda: None)
        self.uploads.append(upload)

    def take_returned(self, now):
        due = [item for item in self.coming_back if item[0] <= now]
        self.coming_back = [item for item in self.coming_back if item[0] > now]
        for _, size in due:
            self.returned += 1
            self.begin(size, now, came_back=True)

    def read(self, now):
        admitted = [upload for upload in self.uploads if upload.place.is_reserved]
        coming = [upload for upload in admitted if upload.rest > 0]
        share = LINK_BYTES_PER_S * TICK_S / (max(1, len(coming)) if self.shares_link else 1)
        for upload in admitted:
            if upload.reserved_at is None:
                upload.reserved_at = now
            if upload.rest > 0:
                upload.rest -= share
                upload.read_at = now
        for upload in self.uploads:
            if upload.rest <= 0 and now >= upload.read_at + WORK_S:
                self.ended += 1
                self.release(upload, now)
            elif now >= upload.arrived_at + DEADLINE_S:
                self.late += 1
                self.release(upload, now)
        self.uploads = [upload for upload in self.uploads if upload.place is not None]

    def release(self, upload, now):
        if upload.reserved_at is not None:
            self.memory.record_holding_time(now - upload.reserved_at)
        self.memory.cancel(upload.place)
        upload.place.release()
        upload.place = None


class UploadLoadTest(testtools.TestCase):
    def test_uploads_of_all_entries_at_one_are_bounded_and_end(self):
        """Guards against an entry that runs out of memory, or refuses, when it alone gets all uploads."""
        for seed in range(5):
            memory = BodyMemory(LIMIT)
            entry = EntryModel(memory, seed, shares_link=False)
            entry.run(30.0, UPLOADS_PER_S)
            self.assertEqual((0, 0), (entry.refused, entry.late))
            assert entry.ended > 700, entry.ended

    def test_uploads_of_a_peak_at_half_of_the_entries_all_end(self):
        """Guards against refusals at an entry whose link still carries what comes."""
        for seed in range(5):
            entry = EntryModel(BodyMemory(LIMIT), seed, shares_link=True)
            entry.run(60.0, PEAK_UPLOADS_PER_S)
            self.assertEqual((0, 0), (entry.refused, entry.late))

    def test_uploads_beyond_the_link_are_bounded_and_refused(self):
        """Guards against memory without bound at an entry whose link carries a fraction of what comes."""
        for seed in range(5):
            memory = BodyMemory(MAX_BYTES * 12)
            entry = EntryModel(memory, seed, shares_link=True)
            entry.run(60.0, UPLOADS_PER_S)
            assert memory.peak <= memory.limit, memory.peak
            assert sum(upload.size for upload in entry.uploads) <= (1 + WAITING_SHARE) * memory.limit
            assert entry.refused > entry.late, (entry.refused, entry.late)

    def test_body_that_comes_back_when_told_is_mostly_taken(self):
        """Guards against a ``Retry-After`` that sends callers back too early."""
        refused_again = returned = 0
        for seed in range(5):
            entry = EntryModel(BodyMemory(MAX_BYTES * 8), seed, shares_link=False)
            entry.run(60.0, 1.2 * UPLOADS_PER_S)
            refused_again += entry.refused_again
            returned += entry.returned
        assert returned > 0
        assert refused_again <= returned / 2, (refused_again, returned)


class BodyMemoryTest(testtools.TestCase):
    def test_admitted_bodies_that_all_need_more_do_not_wait_for_each_other(self):
        """Guards against bodies without a length that stop an entry's uploads for good."""
        memory = BodyMemory(100)
        started = []
        places = [memory.reserve(50, lambda: None) for _ in range(2)]
        assert not memory.grow(places[0], 50, lambda: started.append(0))
        self.assertEqual([], started)
        memory.grow(places[1], 50, lambda: started.append(1))
        self.assertEqual([0], started)
        places[0].release()
        self.assertEqual([0, 1], started)
        places[1].release()
        self.assertEqual(0, memory.held)

    def test_body_that_has_begun_goes_before_new_ones(self):
        """Guards against a body that cannot end because new ones take the memory that it needs."""
        memory = BodyMemory(100)
        order = []
        first = memory.reserve(60, lambda: None)
        second = memory.reserve(40, lambda: None)
        waiting = memory.reserve(30, lambda: order.append("new"))
        memory.grow(first, 40, lambda: order.append("begun"))
        second.release()
        self.assertEqual(["begun"], order)
        first.release()
        self.assertEqual(["begun", "new"], order)
        memory.cancel(waiting)

    def test_body_above_the_limit_holds_up_no_others(self):
        """Guards against small bodies that wait behind a large one while there is memory for them."""
        memory = BodyMemory(LIMIT)
        self.assertIsNone(memory.refusal_delay(LIMIT + 1, DEADLINE_S))
        held = memory.reserve(MAX_BYTES, lambda: None)
        self.assertEqual(memory.holding_time, memory.refusal_delay(LIMIT + 1, DEADLINE_S))
        assert memory.has_room(MIN_BYTES)
        held.release()

    def test_body_that_leaves_the_queue_lets_the_next_one_in(self):
        """Guards against a queue that stands still behind a caller who has left."""
        memory = BodyMemory(100)
        started = []
        held = memory.reserve(60, lambda: None)
        large = memory.reserve(80, lambda: started.append("large"))
        memory.reserve(30, lambda: started.append("small"))
        memory.cancel(large)
        self.assertEqual(["small"], started)
        held.release()
