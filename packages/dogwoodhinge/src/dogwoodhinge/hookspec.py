"""Hook specifications: the places where plug-ins take part.

A plug-in is a module or object with functions marked
`dogwoodhinge.hookimpl.hookimpl`. It registers itself through an entry point
of the group `dogwoodhinge.plugins`, or is named by `--plugins`. The built-in
plug-ins use the same hooks. All hooks here are `firstresult`: implementations
return None for a scheme or name that is not theirs, and the kernel asks the
next one; plug-ins registered last are asked first.
"""

import pluggy

from dogwoodhinge import hookimpl as hookimpl_lib
from dogwoodhinge import models
from dogwoodhinge import ports

hookspec = pluggy.HookspecMarker(hookimpl_lib.PROJECT_NAME)


@hookspec(firstresult=True)
def open_table(url: str, clock: ports.Clock) -> ports.TableService | None:
    """Opens the table service at `url` (`--table_url`)."""


@hookspec(firstresult=True)
def open_object_store(url: str, clock: ports.Clock) -> ports.ObjectStore | None:
    """Opens the object store at `url` (`--object_store_url`)."""


@hookspec(firstresult=True)
def open_weight_store(
    url: str, width: models.StoreWidth, clock: ports.Clock
) -> ports.WeightStore | None:
    """Opens the weight store's index at `url` (`--weight_store_url`)."""


@hookspec(firstresult=True)
def open_host_list(url: str, clock: ports.Clock) -> ports.HostList | None:
    """Opens the list of hosts at `url` (`--host_list_url`)."""


@hookspec(firstresult=True)
def open_fleet_view(url: str) -> ports.FleetView | None:
    """Opens what the platform at `url` keeps (`dogwoodctl --fleet_url`).

    Plug-ins for it register in the group `dogwoodctl.plugins`.
    """


@hookspec(firstresult=True)
def open_engine(
    endpoint: models.Endpoint, clock: ports.Clock
) -> ports.Engine | None:
    """Makes the client of an engine from its entry in the host list."""


@hookspec(firstresult=True)
def open_plain_service(
    endpoint: models.Endpoint, clock: ports.Clock
) -> ports.PlainService | None:
    """Makes the client of a plain service from its entry."""


@hookspec(firstresult=True)
def make_queue_policy(name: str) -> object | None:
    """Makes the owner's queue policy called `name` (`--queue_policy`).

    Returns an `_dogwoodhinge.engine_scheduling.policy.QueuePolicy`.
    """


@hookspec(firstresult=True)
def make_eviction_policy(name: str) -> object | None:
    """Makes the eviction policy called `name` (`--eviction_policy`).

    Returns an `_dogwoodhinge.engine_scheduling.policy.EvictionPolicy`.
    """


@hookspec(firstresult=True)
def make_routing_policy(name: str) -> object | None:
    """Makes the routing policy called `name` (`--routing_policy`).

    Returns an `_dogwoodhinge.routing.policy.RoutingPolicy`.
    """
