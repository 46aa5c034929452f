package dev.bergamotwind.configuration

/** Definitions of all node settings, in the order of the reference documentation. */
public object SettingDefinitions {
    private val portRange = 0L..65_535L
    private val positiveRange = 1L..Int.MAX_VALUE.toLong()

    internal val vm = SettingDefinition("vm", SettingType.ID, "Id of this VM, as in the platform's VM list.")
    internal val failureDomain =
        SettingDefinition("failure_domain", SettingType.ID, "Failure domain that this VM is in.")
    internal val region = SettingDefinition("region", SettingType.ID, "Region that this VM is in.")
    internal val listenAddresses = SettingDefinition(
        "listen.addresses",
        SettingType.ADDRESSES,
        "Addresses of this VM to listen on. Peers are told the first.",
    )
    internal val callerPort = portSetting("listen.caller_port", "8080", "Port for callers.")
    internal val administrationPort = portSetting("listen.administration_port", "8081", "Port for operators.")
    internal val peerPort = portSetting("listen.peer_port", "7070", "Port for other nodes.")
    internal val keyValueService = SettingDefinition(
        "platform.key_value_service",
        SettingType.ENDPOINTS,
        "Endpoints of the key-value service.",
    )
    internal val virtualMachineList =
        SettingDefinition("platform.virtual_machine_list", SettingType.ENDPOINTS, "Endpoints of the VM list.")
    internal val administrationCredential = SettingDefinition(
        "administration.credential_sha256",
        SettingType.DIGEST,
        "Digest of the operators' credential; the credential itself is not stored.",
    )
    internal val peerSecret =
        SettingDefinition("peers.shared_secret", SettingType.SECRET, "Secret by which nodes know each other.")
    internal val peerAddresses = SettingDefinition(
        "peers.addresses",
        SettingType.ENDPOINTS,
        "Peer ports of other nodes to connect to; the VM list adds more.",
        default = "[]",
    )
    internal val tlsCertificate = SettingDefinition(
        "tls.certificate",
        SettingType.TEXT,
        "Path of the certificate chain (PEM) for callers and operators. Without it these ports speak plain HTTP.",
        optional = true,
    )
    internal val tlsKey = SettingDefinition(
        "tls.key",
        SettingType.TEXT,
        "Path of the certificate's private key (PEM). Needed exactly if `tls.certificate` is set.",
        optional = true,
    )
    internal val maximumBodyBytes =
        limitSetting("limits.maximum_body_bytes", "8388608", "bytes", "Largest request body; a larger one gets 413.")
    internal val requestsInFlight =
        limitSetting(
            "limits.requests_in_flight",
            "2048",
            "requests",
            "Requests that this node forwards at the same time.",
        )
    internal val queueLength =
        limitSetting(
            "limits.queue_length",
            "4096",
            "requests",
            "Requests that wait for admission; more get 503, not run.",
        )
    internal val drain =
        limitSetting("limits.drain_milliseconds", "120000", "ms", "Longest wait for open requests on a planned stop.")
    internal val balancerLag = SettingDefinition(
        "limits.balancer_lag_milliseconds",
        SettingType.INTEGER,
        "Time in which the load balancer notices that this node is not ready.",
        default = "5000",
        unit = "ms",
    )
    internal val keyValueCallsPerSecond = limitSetting(
        "limits.key_value_calls_per_second",
        "50",
        "calls/s",
        "Calls of this node to the key-value service; 6 nodes stay below the several hundred that it sustains.",
    )
    internal val requestTimeout =
        limitSetting("limits.request_timeout_milliseconds", "120000", "ms", "Deadline of a request that names none.")

    internal val weightStoreLoadsPerSecond = limitSetting(
        "weight_store.loads_per_second",
        "1",
        "loads/s",
        "Loads of models that the weight store allows per second, over all failure domains.",
    )
    internal val weightStoreConcurrentLoads = limitSetting(
        "weight_store.concurrent_loads",
        "11",
        "loads",
        "Loads of models that the weight store serves at the same time at full speed.",
    )
    internal val weightStoreAdapterLoadsInFlight = limitSetting(
        "weight_store.adapter_loads_in_flight",
        "90",
        "loads",
        "Loads of adapters in flight above which each takes proportionally longer.",
    )

    /** All definitions in order. */
    public val all: List<SettingDefinition> = listOf(
        vm, failureDomain, region, listenAddresses, callerPort, administrationPort, peerPort, keyValueService,
        virtualMachineList, administrationCredential, peerSecret, peerAddresses, tlsCertificate, tlsKey,
        maximumBodyBytes, requestsInFlight, queueLength, drain, balancerLag, keyValueCallsPerSecond,
        requestTimeout, weightStoreLoadsPerSecond, weightStoreConcurrentLoads, weightStoreAdapterLoadsInFlight,
    )

    /** Renders the settings table of the reference documentation. */
    public fun toMarkdown(): String = buildString {
        appendLine("| setting | type | default | unit | meaning |")
        appendLine("|---|---|---|---|---|")
        for (definition in all) {
            val default = definition.default?.let { "`$it`" } ?: if (definition.optional) "none" else "required"
            append("| `${definition.name}` | ${definition.type.label} | $default | ")
            appendLine("${definition.unit.ifEmpty { "–" }} | ${definition.description} |")
        }
    }

    private fun portSetting(name: String, default: String, description: String) = SettingDefinition(
        name,
        SettingType.INTEGER,
        "$description 0 takes a free port.",
        default,
        unit = "port",
        range = portRange,
    )

    private fun limitSetting(name: String, default: String, unit: String, description: String) =
        SettingDefinition(name, SettingType.INTEGER, description, default, unit, range = positiveRange)
}
