package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.OperatorConfiguration

/** `model put`. */
internal class PutModelCommand : PutCommand("model") {
    private val version by option("--version-id", help = "Version to serve")
    private val memory by option("--memory", help = "Accelerator memory of one copy, in MiB").long()
    private val minimumCopies by option("--minimum-copies", help = "Fewest copies that stay loaded").int()

    override fun edit(now: OperatorConfiguration): ConfigurationEdit {
        val model = now.models[ModelId(id)]
            ?: Model(ModelId(id), needed(version, "--version-id"), Mebibytes(needed(memory, "--memory")))
        return ConfigurationEdit.PutModel(
            model.copy(
                version = version ?: model.version,
                memory = memory?.let(::Mebibytes) ?: model.memory,
                minimumCopies = minimumCopies ?: model.minimumCopies,
            ),
        )
    }
}
