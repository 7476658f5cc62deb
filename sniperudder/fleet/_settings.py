"""What an instance learns from its settings file."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and quotas that the deployment promises.

    Attributes
    ----------
    drain_s : float
        Longest time until a leaving endpoint receives no new work.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    stall_s : float
        Time after which an engine gives up work that depends on a dead
        stage.
    repeat_ratio : float
        Repeated sends per request, over all instances.
    repeat_window_s : float
        Window in which repeated sends are counted.
    repeat_slack : float
        Repeated sends beyond the ratio in a window, over all instances.
    """

    drain_s: float
    grace_s: float
    stall_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of one entry instance.

    Attributes
    ----------
    name : str
    data_centre : str
    host : str
        Address at which other instances reach this one.
    callers_address, ready_address : str
        ``host:port`` of the servers for callers and for the balancer.
    peer_port : int
        UDP port for the exchange between instances.
    platform_address : str
    bounds : Bounds
    """

    name: str
    data_centre: str
    host: str
    callers_address: str
    ready_address: str
    peer_port: int
    platform_address: str
    bounds: Bounds
