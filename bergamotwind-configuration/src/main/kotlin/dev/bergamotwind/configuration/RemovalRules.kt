package dev.bergamotwind.configuration

/** The faults of removals: the item must exist and nothing may use it. */
internal object RemovalRules {
    /** Returns what is wrong with the removal [edit] against [configuration]. */
    fun faults(configuration: OperatorConfiguration, edit: ConfigurationEdit.Removal): List<String> =
        FaultCollector.collect {
            val teams = configuration.teams.values
            val targets = configuration.targets.values
            when (edit) {
                is ConfigurationEdit.RemoveFailureDomain -> {
                    exists("failure domain", edit.id, configuration.failureDomains)
                    unused("failure domain ${edit.id}", targets.filter { it.failureDomain == edit.id }.map { it.id })
                }

                is ConfigurationEdit.RemoveModel -> {
                    exists("model", edit.id, configuration.models)
                    val adapters = configuration.adapters.values.filter { it.model == edit.id }.map { it.id }
                    unused("model ${edit.id}", adapters + teams.filter { edit.id in it.models }.map { it.id })
                }

                is ConfigurationEdit.RemoveAdapter -> {
                    exists("adapter", edit.id, configuration.adapters)
                    unused("adapter ${edit.id}", teams.filter { edit.id in it.adapters }.map { it.id })
                }

                is ConfigurationEdit.RemoveRoute -> {
                    exists("route", edit.id, configuration.routes)
                    val serving = targets.filter { it.route == edit.id }.map { it.id }
                    unused("route ${edit.id}", serving + teams.filter { edit.id in it.routes }.map { it.id })
                }

                is ConfigurationEdit.RemoveTeam -> exists("team", edit.id, configuration.teams)

                is ConfigurationEdit.RemoveTarget -> exists("target", edit.id, configuration.targets)

                is ConfigurationEdit.RevokeKey ->
                    require(edit.digest in configuration.keys, "key ${edit.digest.abbreviated()} does not exist")
            }
        }
}
