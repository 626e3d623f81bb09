"""Conversion of quota reports and grants to messages between hosts."""

import datetime

from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import quota_ledger


def encode_use(use: quota_ledger.QuotaUse) -> fleet_pb2.QuotaUse:
    """Returns the message for a host's report."""
    return fleet_pb2.QuotaUse(
        organisation=use.organisation,
        asked=use.asked,
        held=use.held,
        wanted=use.wanted,
        request=use.request,
    )


def decode_use(message: fleet_pb2.QuotaUse) -> quota_ledger.QuotaUse:
    """Returns a host's report."""
    return quota_ledger.QuotaUse(
        organisation=message.organisation,
        asked=message.asked,
        held=message.held,
        wanted=message.wanted,
        request=message.request,
    )


def encode_grant(grant: quota_ledger.QuotaGrant) -> fleet_pb2.QuotaGrant:
    """Returns the message for a grant."""
    return fleet_pb2.QuotaGrant(
        organisation=grant.organisation,
        granted=grant.granted,
        share=grant.share,
        room_in_ms=round(grant.room_in.total_seconds() * 1000),
    )


def decode_grant(message: fleet_pb2.QuotaGrant) -> quota_ledger.QuotaGrant:
    """Returns a grant."""
    return quota_ledger.QuotaGrant(
        organisation=message.organisation,
        granted=message.granted,
        share=message.share,
        room_in=datetime.timedelta(milliseconds=message.room_in_ms),
    )
