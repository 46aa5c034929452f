package dev.bergamotwind.configuration

/** Validates single edits against the configuration they apply to. */
internal object EditValidator {
    /** Returns the errors of [edit] against [configuration]; empty if it is valid. */
    fun validate(configuration: OperatorConfiguration, edit: ConfigurationEdit): List<String> = when (edit) {
        is ConfigurationEdit.SetEntrySlots -> EditErrorCollector.collect {
            requireThat(edit.count > 0, "entry_slots must be positive")
        }

        is ConfigurationEdit.PutFailureDomain -> validateFailureDomain(edit.failureDomain)

        is ConfigurationEdit.PutTeam -> validateTeam(configuration, edit.team)

        is ConfigurationEdit.PutKey -> validateKey(configuration, edit.key)

        is ConfigurationEdit.PutModel -> validateModel(edit.model)

        is ConfigurationEdit.PutAdapter -> validateAdapter(configuration, edit.adapter)

        is ConfigurationEdit.PutRoute -> EditErrorCollector.collect { requireValidId("route", edit.route.id.value) }

        is ConfigurationEdit.PutTarget -> validateTarget(configuration, edit.target)

        is ConfigurationEdit.Removal -> RemovalValidator.validate(configuration, edit)
    }

    private fun validateFailureDomain(domain: FailureDomain) = EditErrorCollector.collect {
        requireValidId("failure domain", domain.id.value)
        requireValidId("region", domain.region.value)
    }

    private fun validateTeam(configuration: OperatorConfiguration, team: Team) = EditErrorCollector.collect {
        requireValidId("team", team.id.value)
        requireThat(team.ratePerSecond.value > 0, "team ${team.id}: rate must be positive")
        requireThat(team.burst.value > 0, "team ${team.id}: burst must be positive")
        requireThat(team.weight > 0, "team ${team.id}: weight must be positive")
        team.models.forEach { requireThat(it in configuration.models, "team ${team.id}: model $it does not exist") }
        team.adapters.forEach {
            requireThat(it in configuration.adapters, "team ${team.id}: adapter $it does not exist")
        }
        team.routes.forEach { requireThat(it in configuration.routes, "team ${team.id}: route $it does not exist") }
    }

    private fun validateKey(configuration: OperatorConfiguration, key: ApiKey) = EditErrorCollector.collect {
        requireThat(
            IdRules.isSha256Digest(key.digest.value),
            "key: the digest must be 64 lower-case hexadecimal digits",
        )
        requireThat(key.team in configuration.teams, "key ${key.digest.abbreviated()}: team ${key.team} does not exist")
        requireThat(key.digest !in configuration.revokedKeys, "key ${key.digest.abbreviated()} has been revoked")
        val owner = configuration.keys[key.digest]?.team
        requireThat(
            owner == null || owner == key.team,
            "key ${key.digest.abbreviated()} already belongs to team $owner",
        )
    }

    private fun validateModel(model: Model) = EditErrorCollector.collect {
        requireThat(IdRules.isValidModelId(model.id.value), "model '${model.id}' has an id that is not permitted")
        requireThat(model.version.isNotBlank(), "model ${model.id}: version is empty")
        requireThat(model.memory.value > 0, "model ${model.id}: memory must be positive")
        requireThat(model.minimumCopies > 0, "model ${model.id}: minimum copies must be positive")
    }

    private fun validateAdapter(configuration: OperatorConfiguration, adapter: Adapter) = EditErrorCollector.collect {
        requireValidId("adapter", adapter.id.value)
        requireThat(adapter.memory.value > 0, "adapter ${adapter.id}: memory must be positive")
        requireThat(
            adapter.model in configuration.models,
            "adapter ${adapter.id}: model ${adapter.model} does not exist",
        )
    }

    private fun validateTarget(configuration: OperatorConfiguration, target: Target) = EditErrorCollector.collect {
        requireValidId("target", target.id.value)
        requireThat(
            target.failureDomain in configuration.failureDomains,
            "target ${target.id}: failure domain ${target.failureDomain} does not exist",
        )
        IpEndpoint.parse(target.address).onLeft { addError("target ${target.id}: ${it.message}") }
        if (target.kind == TargetKind.ENGINE) validateEngine(target) else validateServiceReplica(configuration, target)
    }

    private fun EditErrorCollector.validateEngine(target: Target) {
        requireThat(target.memory.value > 0, "target ${target.id}: memory of an engine must be positive")
        requireThat(target.accelerators > 0, "target ${target.id}: accelerators of an engine must be positive")
        requireThat(target.route == null, "target ${target.id}: an engine has no route")
    }

    private fun EditErrorCollector.validateServiceReplica(configuration: OperatorConfiguration, target: Target) {
        requireThat(target.route in configuration.routes, "target ${target.id}: route ${target.route} does not exist")
    }
}
