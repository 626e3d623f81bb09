"""Judges what callers and stand-ins recorded against the promises.

Each oracle returns one line for each breach; none means that the promise was
kept. They read records only, so broken records show that they see a breach.
Prompts and idempotency keys must be unique within a run.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
import dataclasses
from typing import Any, final

from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import generation

Records = Sequence[Mapping[str, Any]]
NOT_RUN = "no"
PROBLEM_STATUS_FROM = 400


@final
@dataclasses.dataclass(frozen=True, slots=True)
class GenerationSent:
    """A generation and what its caller got."""

    wanted: fleet_clients.Completion
    answer: fleet_clients.CallerAnswer


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallSent:
    """A call of a plain service and what its caller got."""

    wanted: fleet_clients.ServiceCall
    answer: fleet_clients.CallerAnswer


def whole_answers(
    sent: Iterable[GenerationSent], engines: Mapping[str, Records]
) -> list[str]:
    """An answer given as whole is one that an engine made for the request.

    It has the adapter and version that the caller named, all its tokens, and
    those of one run: text of two runs is never joined.
    """
    made = _texts_by_prompt(engines)
    breaches = []
    for item in sent:
        if not item.answer.whole:
            continue
        texts = made.get(item.wanted.prompt, {})
        if item.answer.text not in texts:
            breaches.append(
                f"the answer to {item.wanted.prompt!r} is none that an "
                "engine made for it"
            )
        elif texts[item.answer.text] != item.wanted.model:
            breaches.append(
                f"{item.wanted.prompt!r} named {item.wanted.model} and ran "
                f"on {texts[item.answer.text]}"
            )
    return breaches


def partial_answers(
    sent: Iterable[GenerationSent], engines: Mapping[str, Records]
) -> list[str]:
    """Text sent before an error is the beginning of one run's text."""
    made = _texts_by_prompt(engines)
    return [
        f"the part answer to {item.wanted.prompt!r} joins several runs"
        for item in sent
        if item.answer.text
        and item.answer.status < PROBLEM_STATUS_FROM
        and not item.answer.whole
        and not any(
            text.startswith(item.answer.text)
            for text in made.get(item.wanted.prompt, {})
        )
    ]


def _texts_by_prompt(
    engines: Mapping[str, Records],
) -> dict[str, dict[str, str]]:
    """Returns by prompt each run's whole text with its adapter."""
    made: dict[str, dict[str, str]] = collections.defaultdict(dict)
    for records in engines.values():
        for record in _of(records, "generate"):
            text = generation.text(
                record["request_id"],
                record["adapter"],
                record["prompt"],
                record["max_tokens"],
            )
            made[record["prompt"]][text] = record["adapter"]
    return made


def not_run_is_true(
    generations: Iterable[GenerationSent],
    calls: Iterable[CallSent],
    engines: Mapping[str, Records],
    services: Mapping[str, Records],
) -> list[str]:
    """What is refused as not run appears in no endpoint's records."""
    prompts = {
        record["prompt"]
        for records in engines.values()
        for record in _of(records, "generate")
    }
    runs = _runs_by_key(services)
    breaches = [
        f"{item.wanted.prompt!r} was called not run, and an engine ran it"
        for item in generations
        if item.answer.run == NOT_RUN and item.wanted.prompt in prompts
    ]
    answered = list(calls)
    for item in answered:
        key = item.wanted.key
        earlier = [other for other in answered if other.wanted.key == key]
        if item.answer.run == NOT_RUN and len(earlier) == 1 and runs[key]:
            breaches.append(f"{key!r} was called not run, and it ran")
    return breaches


def at_most_once(
    calls: Iterable[CallSent], services: Mapping[str, Records]
) -> list[str]:
    """A non-idempotent call runs at most once for each key."""
    keys = {item.wanted.key for item in calls if item.wanted.key}
    runs = _runs_by_key(services)
    return [
        f"{key!r} ran {runs[key]} times"
        for key in sorted(keys)
        if runs[key] > 1
    ]


def answered_calls_ran(
    calls: Iterable[CallSent], services: Mapping[str, Records]
) -> list[str]:
    """A call answered as done ran, and equal keys get equal answers."""
    runs = _runs_by_key(services)
    bodies: dict[str, set[str]] = collections.defaultdict(set)
    breaches = []
    for item in calls:
        if not item.answer.whole:
            continue
        bodies[item.wanted.key].add(item.answer.text)
        if not runs[item.wanted.key]:
            breaches.append(f"{item.wanted.key!r} was answered but never ran")
    breaches.extend(
        f"{key!r} got {len(texts)} different answers"
        for key, texts in bodies.items()
        if len(texts) > 1
    )
    return breaches


def no_eviction_in_use(engines: Mapping[str, Records]) -> list[str]:
    """No unload reached an engine while it ran that adapter."""
    return [
        f"{engine_id} was told to unload {record['adapter']} while it ran "
        f"{record['used']} of its requests"
        for engine_id, records in engines.items()
        for record in _of(records, "unload")
        if record["used"]
    ]


def one_run_each(engines: Mapping[str, Records]) -> list[str]:
    """No engine starts the same request id twice."""
    breaches: list[str] = []
    for engine_id, records in engines.items():
        ids = [record["request_id"] for record in _of(records, "generate")]
        counted = collections.Counter(ids)
        breaches.extend(
            f"{engine_id} began {name!r} {count} times"
            for name, count in counted.items()
            if count > 1
        )
    return breaches


def revisions_never_fall(revisions: Mapping[str, Sequence[int]]) -> list[str]:
    """The revision in force at a node never goes down.

    Args:
        revisions: by session, the revisions read one after another.
    """
    return [
        f"{name} went from revision {before} back to {after}"
        for name, seen in revisions.items()
        for before, after in zip(seen, seen[1:], strict=False)
        if after < before
    ]


def no_work_after(
    records: Records, begun: Iterable[str], limit: int
) -> list[str]:
    """An endpoint begins nothing after the time that it had to stop.

    Args:
        records: of the endpoint.
        begun: request ids or keys recorded before that time.
        limit: number of records at that time.
    """
    known = set(begun)
    return [
        f"{record.get('request_id') or record.get('key')!r} began on a "
        "leaving endpoint"
        for record in records[limit:]
        if record["event"] in ("generate", "run")
        and (record.get("request_id") or record.get("key")) not in known
    ]


def crashes_bounded(
    engines: Mapping[str, Records], *, allowed: int
) -> list[str]:
    """One request crashes at most `allowed` engines."""
    crashes = sum(len(_of(records, "crash")) for records in engines.values())
    if crashes <= allowed:
        return []
    return [f"{crashes} crashes; at most {allowed} are allowed"]


def _runs_by_key(services: Mapping[str, Records]) -> collections.Counter[str]:
    return collections.Counter(
        record["key"]
        for records in services.values()
        for record in _of(records, "run")
    )


def _of(records: Records, event: str) -> list[Mapping[str, Any]]:
    return [record for record in records if record["event"] == event]
