package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.VmId
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.milliseconds

/** The settings of one node, from its TOML file. */
public data class NodeSettings(
    val vm: VmId,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val listen: ListenSettings,
    val keyValueService: List<IpEndpoint>,
    val virtualMachineList: List<IpEndpoint>,
    val administrationCredential: KeyDigest,
    val peerSecret: PeerSecret,
    val peers: List<IpEndpoint>,
    val tls: TlsSettings?,
    val limits: LimitSettings,
    val weightStore: WeightStoreSettings,
) {
    /** Reads settings. */
    public companion object {
        /** Reads and checks [file]. */
        public fun read(file: Path): Either<List<FileFault>, NodeSettings> = try {
            parse(file.toString(), file.readText())
        } catch (failure: java.io.IOException) {
            listOf(FileFault("$file", null, "file", "cannot be read: $failure", "Give a readable TOML file.")).left()
        }

        /** Checks the TOML text [toml] and reports all faults at once; [file] appears in them. */
        public fun parse(file: String, toml: String): Either<List<FileFault>, NodeSettings> {
            val reader = SettingsReader(file, toml)
            val settings = build(reader)
            return if (reader.faults.isEmpty()) settings.right() else reader.faults.sortedBy { it.line }.left()
        }

        private fun build(reader: SettingsReader) = NodeSettings(
            vm = VmId(reader.text(SettingDefinitions.vm)),
            failureDomain = FailureDomainId(reader.text(SettingDefinitions.failureDomain)),
            region = RegionId(reader.text(SettingDefinitions.region)),
            listen = listen(reader),
            keyValueService = reader.endpoints(SettingDefinitions.keyValueService),
            virtualMachineList = reader.endpoints(SettingDefinitions.virtualMachineList),
            administrationCredential = KeyDigest(reader.text(SettingDefinitions.credential)),
            peerSecret = PeerSecret(reader.text(SettingDefinitions.peerSecret)),
            peers = reader.endpoints(SettingDefinitions.peers),
            tls = tls(reader),
            limits = limits(reader),
            weightStore = weightStore(reader),
        )

        private fun listen(reader: SettingsReader): ListenSettings {
            val ports = listOf(
                SettingDefinitions.callerPort,
                SettingDefinitions.administrationPort,
                SettingDefinitions.peerPort,
            )
            val (caller, administration, peer) = ports.map { reader.integer(it).toInt() }
            ports.filter { port -> reader.integer(port) != 0L }.groupBy { reader.integer(it) }.values
                .filter { it.size > 1 }
                .forEach { reader.fault(it.last(), "has the same port as ${it.first().name}", "Give two ports.") }
            return ListenSettings(reader.addresses(SettingDefinitions.addresses), caller, administration, peer)
        }

        private fun tls(reader: SettingsReader): TlsSettings? {
            val certificate = reader.text(SettingDefinitions.certificate)
            val key = reader.text(SettingDefinitions.certificateKey)
            when {
                certificate.isEmpty() && key.isEmpty() -> return null

                certificate.isEmpty() ->
                    reader.fault(SettingDefinitions.certificate, "is missing beside tls.key", "Give both or none.")

                key.isEmpty() ->
                    reader.fault(SettingDefinitions.certificateKey, "is missing beside tls.certificate", "Give both.")
            }
            return TlsSettings(Path(certificate), Path(key))
        }

        private fun weightStore(reader: SettingsReader) = WeightStoreSettings(
            loadsPerSecond = reader.integer(SettingDefinitions.storeLoads).toInt(),
            concurrentLoads = reader.integer(SettingDefinitions.storeConcurrent).toInt(),
            adapterLoadsInFlight = reader.integer(SettingDefinitions.storeAdapters).toInt(),
        )

        private fun limits(reader: SettingsReader) = LimitSettings(
            maximumBodyBytes = reader.integer(SettingDefinitions.bodyBytes),
            requestsInFlight = reader.integer(SettingDefinitions.inFlight).toInt(),
            queueLength = reader.integer(SettingDefinitions.queueLength).toInt(),
            drain = reader.integer(SettingDefinitions.drain).milliseconds,
            balancerLag = reader.integer(SettingDefinitions.balancerLag).milliseconds,
            keyValueCallsPerSecond = reader.integer(SettingDefinitions.keyValueCalls).toInt(),
            requestTimeout = reader.integer(SettingDefinitions.requestTimeout).milliseconds,
        )
    }
}
