package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyDigest

/** Applies changes to configurations. Pure functions without I/O or clock. */
public object ConfigurationEditor {
    /**
     * Validates every edit of [change] in order and applies all of them or none. Fails with [Failure.Invalid] listing
     * every error of the first invalid edit, or with [Failure.Conflict] if the revision is not the next one.
     */
    public fun apply(
        configuration: OperatorConfiguration,
        change: ConfigurationChange,
    ): Either<Failure, OperatorConfiguration> {
        if (change.edits.isEmpty()) return invalid("the change has no edits").left()
        var edited = configuration
        for ((index, edit) in change.edits.withIndex()) {
            val errors = EditValidator.validate(edited, edit)
            if (errors.isNotEmpty()) return invalid("edit ${index + 1}: ${errors.joinToString("; ")}").left()
            edited = applyEdit(edited, edit)
        }
        return replay(configuration, change)
    }

    /**
     * Applies a change from the log without validating its edits again: a node whose validation rules differ from those
     * of the accepting node, as during an upgrade, must still reach the same configuration. Fails with
     * [Failure.Conflict] if the revision is not the next one.
     */
    public fun replay(
        configuration: OperatorConfiguration,
        change: ConfigurationChange,
    ): Either<Failure, OperatorConfiguration> = if (change.revision == configuration.revision.next()) {
        change.edits.fold(configuration, ::applyEdit).copy(revision = change.revision).right()
    } else {
        Failure.Conflict("revision ${change.revision} does not follow revision ${configuration.revision}").left()
    }

    /** Applies one edit without validating it. */
    internal fun applyEdit(old: OperatorConfiguration, edit: ConfigurationEdit): OperatorConfiguration = when (edit) {
        is ConfigurationEdit.SetEntrySlots -> old.copy(entrySlots = edit.count)

        is ConfigurationEdit.PutFailureDomain ->
            old.copy(failureDomains = old.failureDomains + (edit.failureDomain.id to edit.failureDomain))

        is ConfigurationEdit.PutTeam -> old.copy(teams = old.teams + (edit.team.id to edit.team))

        is ConfigurationEdit.PutKey -> old.copy(keys = old.keys + (edit.key.digest to edit.key))

        is ConfigurationEdit.PutModel -> old.copy(models = old.models + (edit.model.id to edit.model))

        is ConfigurationEdit.PutAdapter -> old.copy(adapters = old.adapters + (edit.adapter.id to edit.adapter))

        is ConfigurationEdit.PutRoute -> old.copy(routes = old.routes + (edit.route.id to edit.route))

        is ConfigurationEdit.PutTarget -> old.copy(targets = old.targets + (edit.target.id to edit.target))

        is ConfigurationEdit.Removal -> applyRemoval(old, edit)
    }

    private fun applyRemoval(old: OperatorConfiguration, edit: ConfigurationEdit.Removal) = when (edit) {
        is ConfigurationEdit.RemoveFailureDomain -> old.copy(failureDomains = old.failureDomains - edit.id)

        is ConfigurationEdit.RemoveTeam -> {
            val digests = old.keys.values.filter { it.team == edit.id }.map { it.digest }
            withKeysRevoked(old, digests).copy(teams = old.teams - edit.id)
        }

        is ConfigurationEdit.RevokeKey -> withKeysRevoked(old, listOf(edit.digest))

        is ConfigurationEdit.RemoveModel -> old.copy(models = old.models - edit.id)

        is ConfigurationEdit.RemoveAdapter -> old.copy(adapters = old.adapters - edit.id)

        is ConfigurationEdit.RemoveRoute -> old.copy(routes = old.routes - edit.id)

        is ConfigurationEdit.RemoveTarget -> old.copy(targets = old.targets - edit.id)
    }

    private fun withKeysRevoked(old: OperatorConfiguration, digests: List<KeyDigest>) = old.copy(
        keys = old.keys - digests.toSet(),
        revokedKeys = (old.revokedKeys + digests).toList().takeLast(MAXIMUM_REVOKED_KEYS).toSet(),
    )

    private fun invalid(message: String) = Failure.Invalid(message, "Correct the edit and submit the change again.")
}
