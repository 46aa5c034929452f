package dev.bergamotwind.serving

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.serving.call.RefusalHeaders
import dev.bergamotwind.serving.call.TargetTransport
import dev.bergamotwind.serving.peer.PeerTransport
import dev.bergamotwind.serving.placement.OrderTransport
import dev.bergamotwind.serving.store.FleetStore

/** Everything outside an entry VM's decisions. */
public data class ServingPorts(
    /** Time and timers. */
    public val loop: ServingLoop,
    /** The platform's store. */
    public val store: FleetStore,
    /** Keys in the store. */
    public val layout: StoreLayout,
    /** Reads items of the store. */
    public val decoder: StoreDecoder,
    /** Carries requests to targets. */
    public val transport: TargetTransport,
    /** Carries orders to engines. */
    public val orders: OrderTransport,
    /** Carries beats to other VMs. */
    public val peers: PeerTransport,
    /** Headers of refusals. */
    public val refusalHeaders: RefusalHeaders,
    /** Callers' connections. */
    public val callers: CallerConnections,
    /** Receives events. */
    public val recorder: EventRecorder,
)
