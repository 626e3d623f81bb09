"""Spreads the prompts for an engine over time.

Load pattern: prompts for one engine arrive together from many nodes. In each
step an engine reads as many prompt tokens as it can, and every running stream
waits for the step. While several prompts are unread, all steps are long, and
with a few steps to an event all streams of the engine pause for longer than
their callers allow. A prompt that begins some hundred milliseconds later can
still be on time.

The engine gets its prompts at a pace below its speed, one after the other, so
that there are short steps between long ones.
"""

from typing import final


@final
class PrefillSchedule:
    """When each engine may get its next prompt.

    Attributes:
        free_at: loop time at which the last prompt of an engine will have been
            read at the pace, by engine.
    """

    def __init__(self) -> None:
        self.free_at: dict[str, float] = {}

    def reserve(
        self,
        engine_id: str,
        tokens: int,
        *,
        tokens_per_second: float,
        longest_delay: float,
        now: float,
    ) -> float:
        """Reserves the next turn of an engine for a prompt.

        A prompt whose turn would come too late gets none and is sent at once:
        to hold it back would make its first event late without sparing the
        streams anything.

        Args:
            engine_id: the engine.
            tokens: length of the prompt.
            tokens_per_second: pace at which the engine gets prompts.
            longest_delay: seconds for which the prompt may wait.
            now: loop time.

        Returns:
            Seconds until the prompt may be sent.
        """
        turn_at = max(now, self.free_at.get(engine_id, now))
        if turn_at - now > longest_delay:
            return 0.0
        self.free_at[engine_id] = turn_at + tokens / tokens_per_second
        return turn_at - now

    def forget(self, engine_id: str) -> None:
        """Drops an engine that is gone."""
        self.free_at.pop(engine_id, None)
