package dev.bergamotwind.configuration

/** The faults of single edits against the configuration that they are to change. */
internal object EditRules {
    /** Returns what is wrong with [edit] against [configuration]; empty if it may be applied. */
    fun faults(configuration: OperatorConfiguration, edit: ConfigurationEdit): List<String> = when (edit) {
        is ConfigurationEdit.SetEntrySlots -> FaultCollector.collect {
            require(edit.count > 0, "entry_slots must be positive")
        }

        is ConfigurationEdit.PutFailureDomain -> domainFaults(edit.failureDomain)

        is ConfigurationEdit.PutTeam -> teamFaults(configuration, edit.team)

        is ConfigurationEdit.PutKey -> keyFaults(configuration, edit.key)

        is ConfigurationEdit.PutModel -> modelFaults(edit.model)

        is ConfigurationEdit.PutAdapter -> adapterFaults(configuration, edit.adapter)

        is ConfigurationEdit.PutRoute -> FaultCollector.collect { id("route", edit.route.id.value) }

        is ConfigurationEdit.PutTarget -> targetFaults(configuration, edit.target)

        is ConfigurationEdit.Removal -> RemovalRules.faults(configuration, edit)
    }

    private fun domainFaults(domain: FailureDomain) = FaultCollector.collect {
        id("failure domain", domain.id.value)
        id("region", domain.region.value)
    }

    private fun teamFaults(configuration: OperatorConfiguration, team: Team) = FaultCollector.collect {
        id("team", team.id.value)
        require(team.ratePerSecond.value > 0, "team ${team.id}: rate must be positive")
        require(team.burst.value > 0, "team ${team.id}: burst must be positive")
        require(team.weight > 0, "team ${team.id}: weight must be positive")
        team.models.forEach { require(it in configuration.models, "team ${team.id}: model $it does not exist") }
        team.adapters.forEach { require(it in configuration.adapters, "team ${team.id}: adapter $it does not exist") }
        team.routes.forEach { require(it in configuration.routes, "team ${team.id}: route $it does not exist") }
    }

    private fun keyFaults(configuration: OperatorConfiguration, key: ApiKey) = FaultCollector.collect {
        require(Names.isDigest(key.digest.value), "key: the digest must be 64 lower-case hexadecimal digits")
        require(key.team in configuration.teams, "key ${key.digest.abbreviated()}: team ${key.team} does not exist")
        require(key.digest !in configuration.revokedKeys, "key ${key.digest.abbreviated()} has been revoked")
        val owner = configuration.keys[key.digest]?.team
        require(owner == null || owner == key.team, "key ${key.digest.abbreviated()} already belongs to team $owner")
    }

    private fun modelFaults(model: Model) = FaultCollector.collect {
        require(Names.isModelName(model.id.value), "model '${model.id}' has an id that is not permitted")
        require(model.version.isNotBlank(), "model ${model.id}: version is empty")
        require(model.memory.value > 0, "model ${model.id}: memory must be positive")
        require(model.minimumCopies > 0, "model ${model.id}: minimum copies must be positive")
    }

    private fun adapterFaults(configuration: OperatorConfiguration, adapter: Adapter) = FaultCollector.collect {
        id("adapter", adapter.id.value)
        require(adapter.memory.value > 0, "adapter ${adapter.id}: memory must be positive")
        require(adapter.model in configuration.models, "adapter ${adapter.id}: model ${adapter.model} does not exist")
    }

    private fun targetFaults(configuration: OperatorConfiguration, target: Target) = FaultCollector.collect {
        id("target", target.id.value)
        require(
            target.failureDomain in configuration.failureDomains,
            "target ${target.id}: failure domain ${target.failureDomain} does not exist",
        )
        IpEndpoint.parse(target.address).onLeft { add("target ${target.id}: ${it.message}") }
        if (target.kind == TargetKind.ENGINE) engineFaults(target) else serviceFaults(configuration, target)
    }

    private fun FaultCollector.engineFaults(target: Target) {
        require(target.memory.value > 0, "target ${target.id}: memory of an engine must be positive")
        require(target.accelerators > 0, "target ${target.id}: accelerators of an engine must be positive")
        require(target.route == null, "target ${target.id}: an engine has no route")
    }

    private fun FaultCollector.serviceFaults(configuration: OperatorConfiguration, target: Target) {
        require(target.route in configuration.routes, "target ${target.id}: route ${target.route} does not exist")
    }
}
