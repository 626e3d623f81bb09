"""Stand-in of the table service: a subset of the DynamoDB protocol."""

import asyncio
import base64
import json
from typing import Any, final

from absl import flags
from aiohttp import web

from dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge_lab import memory_table
from dogwoodhinge_lab.standins import server

CONTENT_TYPE = "application/x-amz-json-1.0"
MAX_PAGE_ROWS = 200


class Faults(server.Faults):
    """Faults of the table.

    Attributes:
        lose_next: answers of the next commits to lose after their effect.
        drop_next: next commits to drop before any effect.
        only_table: `lose_next` and `drop_next` count only commits that
            write this table; empty for all.
        throttle: refuse every call as over the rate.
        delay_table_ms: delay of commits that write `only_table`.
    """

    lose_next: int = 0
    drop_next: int = 0
    only_table: str = ""
    throttle: bool = False
    delay_table_ms: float = 0.0


@final
class TableStandin(server.Standin[Faults]):
    """Serves GetItem, Query and TransactWriteItems.

    Attributes:
        table: the rows.
        reads: read calls served.
        writes: commits served.
    """

    def __init__(self) -> None:
        super().__init__(Faults())
        self.table = memory_table.MemoryTable()
        self.reads = 0
        self.writes = 0
        self.app.router.add_post("/", self._serve)
        self.app.router.add_get("/control/rows", self._get_rows)

    async def _serve(self, request: web.Request) -> web.Response:
        target = request.headers.get("X-Amz-Target", "")
        operation = target.rpartition(".")[2]
        body = json.loads(await request.read())
        if self.faults.throttle:
            return _error("ThrottlingException", "slow down")
        if operation == "GetItem":
            return await self._get_item(body)
        if operation == "Query":
            return await self._query(body)
        if operation == "TransactWriteItems":
            return await self._transact(request, body)
        return _error("UnknownOperationException", f"no {operation!r} here")

    async def _get_item(self, body: dict[str, Any]) -> web.Response:
        self.reads += 1
        row = await self.table.get(*_key(body["Key"]))
        return _reply({} if row is None else {"Item": _item(row)})

    async def _query(self, body: dict[str, Any]) -> web.Response:
        self.reads += 1
        values = body["ExpressionAttributeValues"]
        start = body.get("ExclusiveStartKey")
        limit = min(body["Limit"], MAX_PAGE_ROWS)
        rows = await self.table.scan(
            values[":t"]["S"],
            prefix=values.get(":k", {"S": ""})["S"],
            after=start["key"]["S"] if start else "",
            limit=limit,
        )
        reply: dict[str, Any] = {"Items": [_item(row) for row in rows]}
        if len(rows) == limit:
            last = rows[-1]
            reply["LastEvaluatedKey"] = {
                "table": {"S": last.table},
                "key": {"S": last.key},
            }
        return _reply(reply)

    async def _transact(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.Response:
        transaction = _transaction(body)
        chosen = self._is_chosen(transaction)
        if chosen and self.faults.drop_next:
            self.faults.drop_next -= 1
            self.record("dropped", id=transaction.transaction_id)
            server.drop_connection(request)
            return web.Response()
        if chosen:
            await asyncio.sleep(self.faults.delay_table_ms / 1e3)
        self.writes += 1
        reply = self._apply(transaction, body)
        if chosen and self.faults.lose_next:
            self.faults.lose_next -= 1
            self.record("answer lost", id=transaction.transaction_id)
            server.drop_connection(request)
        return reply

    def _is_chosen(self, transaction: models.Transaction) -> bool:
        names = {write.table for write in transaction.writes}
        return not self.faults.only_table or self.faults.only_table in names

    def _apply(
        self, transaction: models.Transaction, body: dict[str, Any]
    ) -> web.Response:
        done = self.table.done.get(transaction.transaction_id)
        if done is not None and done != transaction:
            return _error("IdempotentParameterMismatchException", "other items")
        try:
            self.table.apply(transaction)
        except errors.TableConflictError as error:
            return _canceled(body, error)
        except ValueError as error:
            return _error("ValidationException", str(error))
        return _reply({})

    async def _get_rows(self, request: web.Request) -> web.Response:
        table = request.query.get("table", "")
        rows = [
            {
                "table": row.table,
                "key": row.key,
                "value": row.value.decode(errors="replace"),
                "version": row.version,
            }
            for row in self.table.rows.values()
            if not table or row.table == table
        ]
        return web.json_response(rows)


def _transaction(body: dict[str, Any]) -> models.Transaction:
    checks = []
    writes = []
    for action in body["TransactItems"]:
        kind, item = next(iter(action.items()))
        expected = _expected_version(item)
        if kind == "ConditionCheck":
            checks.append(models.Check(*_key(item["Key"]), expected or 0))
        elif kind == "Delete":
            writes.append(models.Write(*_key(item["Key"]), None, 0, expected))
        else:
            writes.append(_put(item["Item"], expected))
    return models.Transaction(
        body["ClientRequestToken"], tuple(writes), tuple(checks)
    )


def _put(item: dict[str, Any], expected: int | None) -> models.Write:
    value = base64.b64decode(item["value"]["B"])
    return models.Write(*_key(item), value, int(item["version"]["N"]), expected)


def _expected_version(item: dict[str, Any]) -> int | None:
    expression = item.get("ConditionExpression")
    if expression is None:
        return None
    if expression == "attribute_not_exists(#k)":
        return models.ABSENT
    return int(item["ExpressionAttributeValues"][":v"]["N"])


def _key(members: dict[str, Any]) -> tuple[str, str]:
    return members["table"]["S"], members["key"]["S"]


def _item(row: models.Row) -> dict[str, Any]:
    return {
        "table": {"S": row.table},
        "key": {"S": row.key},
        "value": {"B": base64.b64encode(row.value).decode()},
        "version": {"N": str(row.version)},
    }


def _canceled(
    body: dict[str, Any], error: errors.TableConflictError
) -> web.Response:
    reasons = []
    for action in body["TransactItems"]:
        item = next(iter(action.values()))
        failed = _key(item.get("Key") or item["Item"]) in error.keys
        reasons.append({"Code": "ConditionalCheckFailed" if failed else "None"})
    return _reply(
        {
            "__type": "com.amazonaws.dynamodb#TransactionCanceledException",
            "message": str(error),
            "CancellationReasons": reasons,
        },
        status=400,
    )


def _error(code: str, message: str) -> web.Response:
    return _reply({"__type": code, "message": message}, status=400)


def _reply(members: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(
        body=json.dumps(members).encode(),
        status=status,
        content_type=CONTENT_TYPE,
    )


def _make(values: flags.FlagValues) -> TableStandin:
    del values
    return TableStandin()


if __name__ == "__main__":
    server.run(_make)
