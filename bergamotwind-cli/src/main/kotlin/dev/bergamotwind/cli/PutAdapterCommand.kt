package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.OperatorConfiguration

/** `adapter put`. */
internal class PutAdapterCommand : PutCommand("adapter") {
    private val model by option("--model", help = "Model that the adapter belongs to")
    private val memory by option("--memory", help = "Accelerator memory, in MiB").long()

    override fun edit(now: OperatorConfiguration): ConfigurationEdit {
        val old = now.adapters[AdapterId(id)]
        return ConfigurationEdit.PutAdapter(
            Adapter(
                AdapterId(id),
                model?.let(::ModelId) ?: needed(old?.model, "--model"),
                memory?.let(::Mebibytes) ?: needed(old?.memory, "--memory"),
            ),
        )
    }
}
