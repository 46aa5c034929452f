package dev.bergamotwind.configuration

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue

/**
 * Reads typed values from TOML text and collects every fault. It walks ktoml's syntax tree, because decoding into a
 * class stops at the first fault and does not tell the line of a value. A faulty setting reads as an empty value.
 */
internal class SettingsReader(private val file: String, toml: String) {
    private data class Entry(val value: Any, val line: Int)

    private val found = mutableListOf<FileFault>()
    private val entries: Map<String, Entry> = parse(toml)
    private val values = mutableMapOf<SettingDefinition, Any>()

    val faults: List<FileFault> get() = found.distinct()

    init {
        val known = SettingDefinitions.all.associateBy { it.name }
        for ((name, entry) in entries) {
            if (name !in known) {
                found += FileFault(file, entry.line, name, "is no setting", "Remove it; docs/settings.md lists all.")
            }
        }
        known.values.forEach { values[it] = check(it) }
    }

    fun text(definition: SettingDefinition): String = values.getValue(definition) as String

    fun integer(definition: SettingDefinition): Long = values.getValue(definition) as Long

    fun addresses(definition: SettingDefinition): List<String> = strings(definition)

    fun endpoints(definition: SettingDefinition): List<IpEndpoint> =
        strings(definition).mapNotNull { IpEndpoint.parse(it).getOrNull() }

    fun fault(definition: SettingDefinition, message: String, remedy: String) {
        found += FileFault(file, entries[definition.name]?.line, definition.name, message, remedy)
    }

    private fun strings(definition: SettingDefinition): List<String> =
        (values.getValue(definition) as List<*>).filterIsInstance<String>()

    private fun parse(toml: String): Map<String, Entry> = try {
        buildMap { collect(TomlParser(TomlInputConfig(allowEmptyToml = true)).parseString(toml), "", this) }
    } catch (failure: TomlDecodingException) {
        val line = lineNumber.find(failure.message.orEmpty())?.groupValues?.get(1)?.toInt()
        found += FileFault(file, line, "syntax", "${failure.message}", "Write the file in TOML.")
        emptyMap()
    }

    private fun collect(node: TomlNode, prefix: String, into: MutableMap<String, Entry>) {
        for (child in node.children) {
            when (child) {
                is TomlTable -> collect(child, "${child.fullTableKey}.", into)
                is TomlKeyValuePrimitive -> into[prefix + child.name] = Entry(plain(child.value), child.lineNo)
                is TomlKeyValueArray -> into[prefix + child.name] = Entry(plain(child.value), child.lineNo)
                else -> Unit
            }
        }
    }

    /** Unwraps lists, whose elements ktoml keeps as syntax nodes. */
    private fun plain(value: Any): Any = when (value) {
        is TomlValue -> plain(value.content)
        is List<*> -> value.filterNotNull().map(::plain)
        else -> value
    }

    private fun check(definition: SettingDefinition): Any {
        val value = entries[definition.name]?.value
        if (value == null && definition.required && entries.isNotEmpty()) {
            fault(definition, "is missing", "Add it: ${definition.description}")
        }
        return when (definition.type) {
            SettingType.INTEGER -> checkInteger(definition, value ?: definition.default?.toLong() ?: 0L)
            SettingType.ADDRESSES, SettingType.ENDPOINTS -> checkList(definition, value)
            else -> checkText(definition, value)
        }
    }

    private fun checkInteger(definition: SettingDefinition, value: Any): Long {
        if (value is Long && value in definition.range) return value
        val remedy = "Give a whole number from ${definition.range.first} to ${definition.range.last}."
        fault(definition, "$value is not permitted", remedy)
        return 0L
    }

    private fun checkText(definition: SettingDefinition, value: Any?): String {
        val text = value as? String ?: ""
        when {
            value == null -> return text

            text.isEmpty() -> fault(definition, "is no text", "Give a text in quotes.")

            definition.type == SettingType.ID && !Names.isName(text) ->
                fault(definition, "'$text' is not permitted", "Use 1 to 64 letters, digits, '.', '_' or '-'.")

            definition.type == SettingType.DIGEST && !Names.isDigest(text) ->
                fault(definition, "is no SHA-256 digest", "Give 64 lower-case hexadecimal digits.")

            definition.type == SettingType.SECRET && text.length < MINIMUM_SECRET_LENGTH ->
                fault(definition, "is too short", "Give at least $MINIMUM_SECRET_LENGTH random characters.")
        }
        return text
    }

    private fun checkList(definition: SettingDefinition, value: Any?): List<String> {
        if (value == null) return emptyList()
        val texts = (value as? List<*>)?.takeIf { list -> list.all { it is String } }?.filterIsInstance<String>()
        if (texts == null) {
            fault(definition, "is no list of texts", "Give a list in brackets, each entry in quotes.")
            return emptyList()
        }
        if (texts.isEmpty() && definition.required) fault(definition, "is empty", "Give at least one entry.")
        texts.forEach { checkAddress(definition, it) }
        return texts
    }

    private fun checkAddress(definition: SettingDefinition, text: String) {
        if (definition.type == SettingType.ENDPOINTS) {
            IpEndpoint.parse(text).onLeft { fault(definition, it.message, it.remedy) }
        } else if (!IpEndpoint.isIpAddress(text)) {
            fault(definition, "'$text' is not an IP address", "Give an IP address; host names are not resolved.")
        }
    }

    private companion object {
        const val MINIMUM_SECRET_LENGTH = 32
        val lineNumber = Regex("""Line (\d+)""")
    }
}
