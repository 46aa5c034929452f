package dev.bergamotwind.configuration

/** Validates removals: the item must exist and must not be in use. */
internal object RemovalValidator {
    /** Returns the errors of the removal [edit] against [configuration]; empty if it is valid. */
    fun validate(configuration: OperatorConfiguration, edit: ConfigurationEdit.Removal): List<String> =
        EditErrorCollector.collect {
            val teams = configuration.teams.values
            val targets = configuration.targets.values
            when (edit) {
                is ConfigurationEdit.RemoveFailureDomain -> {
                    requireExists("failure domain", edit.id, configuration.failureDomains)
                    val members = targets.filter { it.failureDomain == edit.id }.map { it.id }
                    requireUnused("failure domain ${edit.id}", members)
                }

                is ConfigurationEdit.RemoveModel -> {
                    requireExists("model", edit.id, configuration.models)
                    val adapters = configuration.adapters.values.filter { it.model == edit.id }.map { it.id }
                    requireUnused("model ${edit.id}", adapters + teams.filter { edit.id in it.models }.map { it.id })
                }

                is ConfigurationEdit.RemoveAdapter -> {
                    requireExists("adapter", edit.id, configuration.adapters)
                    requireUnused("adapter ${edit.id}", teams.filter { edit.id in it.adapters }.map { it.id })
                }

                is ConfigurationEdit.RemoveRoute -> {
                    requireExists("route", edit.id, configuration.routes)
                    val serving = targets.filter { it.route == edit.id }.map { it.id }
                    requireUnused("route ${edit.id}", serving + teams.filter { edit.id in it.routes }.map { it.id })
                }

                is ConfigurationEdit.RemoveTeam -> requireExists("team", edit.id, configuration.teams)

                is ConfigurationEdit.RemoveTarget -> requireExists("target", edit.id, configuration.targets)

                is ConfigurationEdit.RevokeKey ->
                    requireThat(edit.digest in configuration.keys, "key ${edit.digest.abbreviated()} does not exist")
            }
        }
}
