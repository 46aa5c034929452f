package dev.bergamotwind.test

import arrow.core.Either
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.logging.RequestLogProperty
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.VirtualMachine
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Stand-in for the platform: [store] through the published etcd v3 JSON API, and the VM list at `/vms`. `PUT /vms`
 * replaces the list, which readers see after [virtualMachineLag]; `POST /faults` takes [PlatformFaults]. A [port] of
 * 0 chooses a free one at the first start and keeps it.
 */
public class PlatformServer(
    port: Int = 0,
    private val address: String = "127.0.0.1",
    private val store: InMemoryKeyValueService = InMemoryKeyValueService(),
    private val virtualMachineLag: Duration = Duration.ZERO,
    private val random: Random = Random.Default,
) : AutoCloseable {
    private class Listing(val machines: List<VirtualMachine>, val sinceNanos: Long)

    private val api = EtcdApi(store)
    private var server: Server? = null

    @Volatile
    private var listings = listOf(Listing(emptyList(), System.nanoTime() - virtualMachineLag.inWholeNanoseconds))

    /** The port that is served, or 0 before the first start. */
    public var port: Int = port
        private set

    /** `IP:PORT` of this server. */
    public val endpoint: String get() = "$address:$port"

    /** The faults in force. */
    @Volatile
    public var faults: PlatformFaults = PlatformFaults()

    /** Starts serving on the same port as before, and returns this server. */
    public fun start(): PlatformServer = apply {
        val started = build()
        started.start().join()
        port = started.activeLocalPort()
        server = started
    }

    /** Closes the port and all connections; the records stay. */
    override fun close() {
        server?.stop()?.join()
        server = null
    }

    /** Replaces the VM list. */
    public fun virtualMachines(machines: List<VirtualMachine>) {
        listings = listOf(visibleListing(), Listing(machines, System.nanoTime()))
    }

    private fun build(): Server = Server.builder()
        .http(InetSocketAddress(address, port))
        .workerGroup(ServerTransport.workers, false)
        .gracefulShutdownTimeout(NO_WAIT, NO_WAIT)
        .requestTimeoutMillis(0)
        .service("/v3/kv/range", call(writes = false, api::range))
        .service("/v3/kv/txn", call(writes = true, api::transact))
        .service("/v3/lease/grant", call(writes = true, api::grant))
        .service("/v3/lease/keepalive", call(writes = true, api::keepAlive))
        .service("/v3/lease/revoke", call(writes = true, api::revoke))
        .service("/v3/kv/lease/revoke", call(writes = true, api::revoke))
        .service("/v3/watch") { context, request -> blocking(context, request) { body -> api.watch(body) } }
        .route().get("/vms").build { context, request -> blocking(context, request) { machines() } }
        .route().put("/vms").build { context, request -> administration(context, request, ::replaceMachines) }
        .route().post("/faults").build { context, request -> administration(context, request, ::replaceFaults) }
        .build()

    private fun call(writes: Boolean, action: (JsonObject) -> HttpResponse) = HttpService { context, request ->
        blocking(context, request) { body ->
            val response = action(body)
            if (writes && random.nextDouble() < faults.loseAnswers) abandon(context) else response
        }
    }

    // Closing the connection after the effect is how a lost answer looks to the client.
    private fun abandon(context: ServiceRequestContext): HttpResponse {
        context.log().ensureAvailable(RequestLogProperty.SESSION).channel()?.close()
        return HttpResponse.streaming()
    }

    private fun blocking(
        context: ServiceRequestContext,
        request: HttpRequest,
        action: (JsonObject) -> HttpResponse,
    ): HttpResponse = administration(context, request) { body ->
        val current = faults
        if (current.delayMillis > 0) Thread.sleep(current.delayMillis)
        if (current.unavailable) {
            EtcdAnswer.failure(HttpStatus.SERVICE_UNAVAILABLE, EtcdAnswer.CODE_UNAVAILABLE, "etcdserver: no leader")
        } else {
            action(if (body.isEmpty()) JsonObject(emptyMap()) else Json.parseToJsonElement(body).jsonObject)
        }
    }

    private fun administration(
        context: ServiceRequestContext,
        request: HttpRequest,
        action: (String) -> HttpResponse,
    ): HttpResponse = HttpResponse.of(
        request.aggregate().thenCompose { whole ->
            CompletableFuture.supplyAsync({ guarded { action(whole.contentUtf8()) } }, context.blockingTaskExecutor())
        },
    )

    private fun guarded(action: () -> HttpResponse): HttpResponse = try {
        action()
    } catch (unsupported: EtcdRequest.Unsupported) {
        EtcdAnswer.failure(HttpStatus.NOT_IMPLEMENTED, EtcdAnswer.CODE_UNIMPLEMENTED, unsupported.message.orEmpty())
    } catch (malformed: IllegalArgumentException) {
        EtcdAnswer.failure(HttpStatus.BAD_REQUEST, EtcdAnswer.CODE_INVALID, malformed.message.orEmpty())
    }

    private fun visibleListing(): Listing {
        val now = System.nanoTime()
        return listings.lastOrNull { now - it.sinceNanos >= virtualMachineLag.inWholeNanoseconds } ?: listings.first()
    }

    private fun machines(): HttpResponse =
        HttpResponse.of(MediaType.JSON, Json.encodeToString<List<VirtualMachine>>(visibleListing().machines))

    private fun replaceMachines(body: String): HttpResponse {
        virtualMachines(Json.decodeFromString<List<VirtualMachine>>(body))
        return HttpResponse.of(HttpStatus.NO_CONTENT)
    }

    private fun replaceFaults(body: String): HttpResponse {
        faults = Json.decodeFromString<PlatformFaults>(body)
        return HttpResponse.of(HttpStatus.NO_CONTENT)
    }

    private companion object {
        val NO_WAIT: java.time.Duration = java.time.Duration.ZERO
    }
}
