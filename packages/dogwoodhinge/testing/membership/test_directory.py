"""Tests of the endpoint directory."""

import datetime

import pytest

from _dogwoodhinge.membership import directory as directory_module
from dogwoodhinge import models
from dogwoodhinge_lab import small_cluster


@pytest.fixture
async def directory(
    cluster: small_cluster.SmallCluster,
) -> directory_module.EndpointDirectory:
    cluster.add_engine("engine-0", checks_fencing=True)
    made = cluster.add_node("node-0").directory
    await made.refresh()
    return made


def set_state(
    cluster: small_cluster.SmallCluster, state: models.HostState
) -> None:
    named = cluster.hosts.endpoints["engine-0"]
    cluster.hosts.endpoints["engine-0"] = models.Endpoint(
        endpoint_id=named.endpoint_id,
        kind=named.kind,
        url=named.url,
        state=state,
    )


async def test_hides_an_endpoint_that_is_leaving_in_the_list(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
) -> None:
    set_state(cluster, models.HostState.LEAVING)
    await directory.refresh()
    assert not directory.is_usable("engine-0")
    assert not directory.engines()
    assert directory.get("engine-0") is not None


async def test_hides_a_leaving_endpoint_before_the_list_shows_it(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
) -> None:
    directory.report_leaving("engine-0")
    await directory.refresh()
    assert not directory.is_usable("engine-0")
    assert not directory.engines()


async def test_uses_the_endpoint_again_if_the_list_keeps_it_live(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
) -> None:
    directory.report_leaving("engine-0")
    await cluster.clock.advance(directory_module.LEAVING_TIMEOUT)
    assert directory.is_usable("engine-0")


async def test_latest_end_of_several_pauses_holds(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
) -> None:
    """An answer to an earlier request does not end a pause."""
    directory.report_paused("engine-0", datetime.timedelta(seconds=3))
    directory.report_paused("engine-0", datetime.timedelta(seconds=1))
    directory.report_reachable("engine-0")
    await cluster.clock.advance(datetime.timedelta(seconds=2.9))
    assert not directory.is_usable("engine-0")
    await cluster.clock.advance(datetime.timedelta(seconds=0.2))
    assert directory.is_usable("engine-0")


async def test_backs_off_from_an_unreachable_endpoint(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
) -> None:
    longest = directory_module.MAX_PROBE_DELAY * 1.5
    for _ in range(10):
        directory.report_unreachable("engine-0")
        assert not directory.is_usable("engine-0")
        assert directory.engines()
        await cluster.clock.advance(longest)
        assert directory.is_usable("engine-0")
    directory.report_unreachable("engine-0")
    directory.report_reachable("engine-0")
    assert directory.is_usable("engine-0")


@pytest.mark.parametrize(
    ("missed_reads", "listed"),
    [
        pytest.param(1, True, id="kept_after_one_missed_read"),
        pytest.param(2, True, id="kept_after_two_missed_reads"),
        pytest.param(3, False, id="gone_after_three_missed_reads"),
    ],
)
async def test_endpoint_missing_from_the_list(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
    missed_reads: int,
    listed: bool,
) -> None:
    del cluster.hosts.endpoints["node-0"]
    for _ in range(missed_reads):
        await directory.refresh()
    assert directory.is_host_listed("node-0") is listed
    assert (directory.host_gone_since("node-0") is None) is listed


@pytest.mark.parametrize("fault", ["failing", "empty"])
async def test_last_list_stays_in_use(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
    fault: str,
) -> None:
    if fault == "failing":
        cluster.hosts.failing = True
    else:
        cluster.hosts.endpoints.clear()
    for _ in range(directory_module.MISSED_READS_UNTIL_GONE + 1):
        assert not await directory.refresh()
    assert directory.is_usable("engine-0")


async def test_listener_is_called_for_a_leaving_endpoint_within_one_poll(
    cluster: small_cluster.SmallCluster,
    directory: directory_module.EndpointDirectory,
) -> None:
    await directory.start()
    called_at: list[float] = []
    directory.listeners.append(
        lambda: called_at.append(cluster.clock.monotonic())
    )
    set_state(cluster, models.HostState.LEAVING)
    began = cluster.clock.monotonic()
    await cluster.clock.advance(datetime.timedelta(seconds=5))
    await directory.stop()
    assert called_at == [began + directory.settings.host_poll_seconds]
