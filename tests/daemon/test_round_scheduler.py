"""The round scheduler: the earliest deadline wins, and a round that ran leaves no timer behind."""

import asyncio

from swiftchute.daemon.round_scheduler import NS_PER_S, ROUND_DELAY_NS, RoundScheduler


def run(play):
    """Run `play` with a scheduler and its clock; return the times at which rounds ran."""

    async def main():
        loop, times = asyncio.get_running_loop(), []

        def clock():
            return int(loop.time() * NS_PER_S)

        await play(RoundScheduler(lambda: times.append(clock()), clock), clock)
        return times

    return asyncio.run(main())


def test_events_that_arrive_together_are_handled_in_one_round():
    async def play(scheduler, clock):
        for _ in range(10):
            scheduler.request_round()
        await asyncio.sleep(5 * ROUND_DELAY_NS / NS_PER_S)

    assert len(run(play)) == 1


def test_an_earlier_deadline_replaces_a_later_one_and_not_the_reverse():
    start = []

    async def play(scheduler, clock):
        start.append(clock())
        scheduler.schedule(clock() + 60 * NS_PER_S)
        scheduler.schedule(clock() + NS_PER_S // 20)
        scheduler.schedule(clock() + 60 * NS_PER_S)
        await asyncio.sleep(0.2)

    (time,) = run(play)
    assert time - start[0] >= NS_PER_S // 20 - NS_PER_S // 1000


def test_no_round_runs_after_cancel():
    async def play(scheduler, clock):
        scheduler.request_round()
        scheduler.cancel()
        await asyncio.sleep(5 * ROUND_DELAY_NS / NS_PER_S)

    assert run(play) == []
