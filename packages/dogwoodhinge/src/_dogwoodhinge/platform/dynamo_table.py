"""Table service over the DynamoDB protocol (JSON 1.0).

All rows are in one DynamoDB table with the partition key `table`, the sort
key `key` and the attributes `value` and `version`. The user name in the URL is
sent as HTTP basic authentication; requests are not signed.
"""

import base64
import datetime
import json
from typing import Any, final
import urllib.parse

from _dogwoodhinge.platform import errors as platform_errors
from _dogwoodhinge.platform import http_client
from dogwoodhinge import errors
from dogwoodhinge import hookimpl
from dogwoodhinge import models
from dogwoodhinge import ports

SCHEME = "dynamodb"
DEFAULT_TABLE = "dogwoodhinge"
TARGET_PREFIX = "DynamoDB_20120810."
CALL_TIMEOUT = datetime.timedelta(seconds=2)
STATUS_OK = 200
STATUS_SERVER_ERROR = 500

# Error codes that guarantee that the transaction was not applied.
NOT_APPLIED_CODES = frozenset(
    {
        "ProvisionedThroughputExceededException",
        "RequestLimitExceeded",
        "ServiceUnavailable",
        "ThrottlingException",
    }
)
# Another call with the same token is in progress; its outcome is unknown.
IN_PROGRESS_CODE = "TransactionInProgressException"
CANCELED_CODE = "TransactionCanceledException"
CHECK_FAILED_REASON = "ConditionalCheckFailed"


@hookimpl.hookimpl
def open_table(url: str, clock: ports.Clock) -> ports.TableService | None:
    """Opens `dynamodb+http(s)://host:port[/table]`."""
    del clock
    http_url = http_client.split_scheme(url, SCHEME)
    if http_url is None:
        return None
    parts = urllib.parse.urlsplit(http_url)
    base_url = f"{parts.scheme}://{parts.netloc}"
    return DynamoTable(base_url, parts.path.strip("/") or DEFAULT_TABLE)


@final
class DynamoTable:
    """Implements `ports.TableService`."""

    def __init__(self, base_url: str, table_name: str) -> None:
        self.table_name = table_name
        self.client = http_client.HttpClient(base_url)

    async def get(self, table: str, key: str) -> models.Row | None:
        """Reads one row with a strongly consistent read."""
        reply = await self._read(
            "GetItem",
            {
                "TableName": self.table_name,
                "Key": _item_key(table, key),
                "ConsistentRead": True,
            },
        )
        item = reply.get("Item")
        return None if item is None else _to_row(item)

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[models.Row, ...]:
        """Reads rows in key order, page by page, up to the limit."""
        start = _item_key(table, after) if after > prefix else None
        rows: list[models.Row] = []
        while len(rows) < limit:
            query = self._query(table, prefix, limit - len(rows))
            if start is not None:
                query["ExclusiveStartKey"] = start
            reply = await self._read("Query", query)
            rows.extend(_to_row(item) for item in reply["Items"])
            start = reply.get("LastEvaluatedKey")
            if start is None:
                break
        return tuple(rows)

    async def commit(self, transaction: models.Transaction) -> None:
        """Commits a transaction.

        The transaction id is the client request token, so that repeating a
        commit applies it once.
        """
        actions = [self._check(check) for check in transaction.checks]
        actions.extend(self._write(write) for write in transaction.writes)
        body = {
            "TransactItems": actions,
            "ClientRequestToken": transaction.transaction_id,
        }
        try:
            response = await self._call("TransactWriteItems", body)
        except platform_errors.RequestNotSentError as error:
            raise errors.TableUnavailableError(str(error)) from error
        except platform_errors.IncompleteResponseError as error:
            raise errors.TableOutcomeUnknownError(str(error)) from error
        if response.status != STATUS_OK:
            raise _commit_error(response, transaction)

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.close()

    def _query(self, table: str, prefix: str, limit: int) -> dict[str, Any]:
        condition = "#t = :t"
        names = {"#t": "table"}
        values = {":t": {"S": table}}
        if prefix:
            condition += " AND begins_with(#k, :k)"
            names["#k"] = "key"
            values[":k"] = {"S": prefix}
        return {
            "TableName": self.table_name,
            "ConsistentRead": True,
            "Limit": limit,
            "KeyConditionExpression": condition,
            "ExpressionAttributeNames": names,
            "ExpressionAttributeValues": values,
        }

    def _check(self, check: models.Check) -> dict[str, Any]:
        body = {
            "TableName": self.table_name,
            "Key": _item_key(check.table, check.key),
        }
        return {"ConditionCheck": body | _condition(check.version)}

    def _write(self, write: models.Write) -> dict[str, Any]:
        body: dict[str, Any] = {"TableName": self.table_name}
        if write.expected is not None:
            body |= _condition(write.expected)
        key = _item_key(write.table, write.key)
        if write.value is None:
            return {"Delete": body | {"Key": key}}
        value = base64.b64encode(write.value).decode()
        item = key | {"value": {"B": value}, "version": _number(write.version)}
        return {"Put": body | {"Item": item}}

    async def _read(
        self, operation: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        try:
            response = await self._call(operation, body)
            if response.status != STATUS_OK:
                raise errors.TableUnavailableError(
                    f"the table service answered {operation} with "
                    f"{_describe_error(response)}"
                )
            reply: dict[str, Any] = json.loads(response.body)
        except (platform_errors.ExchangeError, ValueError) as error:
            raise errors.TableUnavailableError(str(error)) from error
        return reply

    async def _call(
        self, operation: str, body: dict[str, Any]
    ) -> http_client.Response:
        request = http_client.Request(
            method="POST",
            path="/",
            body=json.dumps(body, separators=(",", ":")).encode(),
            headers={
                "Content-Type": "application/x-amz-json-1.0",
                "X-Amz-Target": TARGET_PREFIX + operation,
            },
        )
        return await self.client.exchange(request, timeout=CALL_TIMEOUT)


def _item_key(table: str, key: str) -> dict[str, Any]:
    return {"table": {"S": table}, "key": {"S": key}}


def _number(value: int) -> dict[str, str]:
    return {"N": str(value)}


def _condition(version: int) -> dict[str, Any]:
    if version == models.ABSENT:
        return {
            "ConditionExpression": "attribute_not_exists(#k)",
            "ExpressionAttributeNames": {"#k": "key"},
        }
    return {
        "ConditionExpression": "#v = :v",
        "ExpressionAttributeNames": {"#v": "version"},
        "ExpressionAttributeValues": {":v": _number(version)},
    }


def _to_row(item: dict[str, Any]) -> models.Row:
    return models.Row(
        table=item["table"]["S"],
        key=item["key"]["S"],
        value=base64.b64decode(item["value"]["B"]),
        version=int(item["version"]["N"]),
    )


def _commit_error(
    response: http_client.Response, transaction: models.Transaction
) -> errors.TableError:
    code = _error_code(response)
    text = f"the table service answered {_describe_error(response)} to a commit"
    if code == CANCELED_CODE:
        return _cancellation_error(response, transaction)
    if code in NOT_APPLIED_CODES:
        return errors.TableUnavailableError(text)
    if (
        not code
        or code == IN_PROGRESS_CODE
        or response.status >= STATUS_SERVER_ERROR
    ):
        return errors.TableOutcomeUnknownError(text)
    return errors.TableUnavailableError(text)


def _cancellation_error(
    response: http_client.Response, transaction: models.Transaction
) -> errors.TableError:
    names = [(check.table, check.key) for check in transaction.checks]
    names.extend((write.table, write.key) for write in transaction.writes)
    reasons = _parse_object(response).get("CancellationReasons", [])
    failed = tuple(
        name
        for name, reason in zip(names, reasons, strict=False)
        if reason.get("Code") == CHECK_FAILED_REASON
    )
    if failed:
        return errors.TableConflictError(
            f"the rows {failed} do not have the expected versions", keys=failed
        )
    return errors.TableUnavailableError(
        "the table service cancelled the transaction, which conflicted with "
        "a concurrent one; send it again"
    )


def _parse_object(response: http_client.Response) -> dict[str, Any]:
    try:
        members = json.loads(response.body)
    except ValueError:
        return {}
    return members if isinstance(members, dict) else {}


def _error_code(response: http_client.Response) -> str:
    return str(_parse_object(response).get("__type", "")).rpartition("#")[2]


def _describe_error(response: http_client.Response) -> str:
    message = _parse_object(response).get("message", "")
    return f"{response.status} {_error_code(response)} {message}".strip()
