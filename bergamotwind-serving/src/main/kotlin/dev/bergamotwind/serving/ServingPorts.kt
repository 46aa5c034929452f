package dev.bergamotwind.serving

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.AnswerMemory
import dev.bergamotwind.serving.call.RefusalHeaders
import dev.bergamotwind.serving.call.TargetTransport
import dev.bergamotwind.serving.peer.PeerTransport
import dev.bergamotwind.serving.placement.OrderTransport
import dev.bergamotwind.serving.store.FleetStore

/** The external dependencies of a [ServingVm]. */
public data class ServingPorts(
    /** Clock and timers. */
    public val loop: ServingLoop,
    /** The platform's store. */
    public val store: FleetStore,
    /** Keys in the store. */
    public val layout: StoreLayout,
    /** Decodes items of the store. */
    public val decoder: StoreDecoder,
    /** Sends requests to targets. */
    public val transport: TargetTransport,
    /** Sends orders to engines. */
    public val orders: OrderTransport,
    /** Sends heartbeats to other VMs. */
    public val peers: PeerTransport,
    /** Creates the headers of refusals. */
    public val refusalHeaders: RefusalHeaders,
    /** The connections of callers. */
    public val callers: CallerConnections,
    /** Records events. */
    public val recorder: EventRecorder,
    /** Bounds what the process keeps of all answers. */
    public val answerMemory: AnswerMemory = AnswerMemory.ofHeap(),
)
