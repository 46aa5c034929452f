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
 * Reads typed values from TOML text and collects all errors. It walks ktoml's syntax tree, because decoding into a
 * class stops at the first error and does not provide the line of a value. An invalid setting yields an empty value.
 */
internal class SettingsReader(private val file: String, toml: String) {
    private data class Entry(val value: Any, val line: Int)

    private val collectedErrors = mutableListOf<FileError>()
    private val entries: Map<String, Entry> = parse(toml)
    private val values = mutableMapOf<SettingDefinition, Any>()

    val errors: List<FileError> get() = collectedErrors.distinct()

    init {
        val known = SettingDefinitions.all.associateBy { it.name }
        for ((name, entry) in entries) {
            if (name !in known) {
                collectedErrors +=
                    FileError(file, entry.line, name, "is an unknown setting", "Remove it; docs/settings.md lists all.")
            }
        }
        known.values.forEach { values[it] = readAndCheck(it) }
    }

    fun text(definition: SettingDefinition): String = values.getValue(definition) as String

    fun integer(definition: SettingDefinition): Long = values.getValue(definition) as Long

    fun addresses(definition: SettingDefinition): List<String> = strings(definition)

    fun endpoints(definition: SettingDefinition): List<IpEndpoint> =
        strings(definition).mapNotNull { IpEndpoint.parse(it).getOrNull() }

    fun addError(definition: SettingDefinition, message: String, remedy: String) {
        collectedErrors += FileError(file, entries[definition.name]?.line, definition.name, message, remedy)
    }

    private fun strings(definition: SettingDefinition): List<String> =
        (values.getValue(definition) as List<*>).filterIsInstance<String>()

    private fun parse(toml: String): Map<String, Entry> = try {
        buildMap { collectEntries(TomlParser(TomlInputConfig(allowEmptyToml = true)).parseString(toml), "", this) }
    } catch (failure: TomlDecodingException) {
        val line = lineNumberPattern.find(failure.message.orEmpty())?.groupValues?.get(1)?.toInt()
        collectedErrors += FileError(file, line, "syntax", "${failure.message}", "Write the file in TOML.")
        emptyMap()
    }

    private fun collectEntries(node: TomlNode, prefix: String, into: MutableMap<String, Entry>) {
        for (child in node.children) {
            when (child) {
                is TomlTable -> collectEntries(child, "${child.fullTableKey}.", into)
                is TomlKeyValuePrimitive -> into[prefix + child.name] = Entry(unwrap(child.value), child.lineNo)
                is TomlKeyValueArray -> into[prefix + child.name] = Entry(unwrap(child.value), child.lineNo)
                else -> Unit
            }
        }
    }

    /** Converts ktoml syntax nodes, including the elements of lists, to plain values. */
    private fun unwrap(value: Any): Any = when (value) {
        is TomlValue -> unwrap(value.content)
        is List<*> -> value.filterNotNull().map(::unwrap)
        else -> value
    }

    private fun readAndCheck(definition: SettingDefinition): Any {
        val value = entries[definition.name]?.value
        if (value == null && definition.required && entries.isNotEmpty()) {
            addError(definition, "is missing", "Add it: ${definition.description}")
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
        addError(definition, "$value is not permitted", remedy)
        return 0L
    }

    private fun checkText(definition: SettingDefinition, value: Any?): String {
        val text = value as? String ?: ""
        when {
            value == null -> return text

            text.isEmpty() -> addError(definition, "is not a non-empty string", "Give a text in quotes.")

            definition.type == SettingType.ID && !IdRules.isValidId(text) ->
                addError(definition, "'$text' is not permitted", "Use 1 to 64 letters, digits, '.', '_' or '-'.")

            definition.type == SettingType.DIGEST && !IdRules.isSha256Digest(text) ->
                addError(definition, "is not a SHA-256 digest", "Give 64 lower-case hexadecimal digits.")

            definition.type == SettingType.SECRET && text.length < MINIMUM_SECRET_LENGTH ->
                addError(definition, "is too short", "Give at least $MINIMUM_SECRET_LENGTH random characters.")
        }
        return text
    }

    private fun checkList(definition: SettingDefinition, value: Any?): List<String> {
        if (value == null) return emptyList()
        val texts = (value as? List<*>)?.takeIf { list -> list.all { it is String } }?.filterIsInstance<String>()
        if (texts == null) {
            addError(definition, "is not a list of strings", "Give a list in brackets, each entry in quotes.")
            return emptyList()
        }
        if (texts.isEmpty() && definition.required) addError(definition, "is empty", "Give at least one entry.")
        texts.forEach { checkAddress(definition, it) }
        return texts
    }

    private fun checkAddress(definition: SettingDefinition, text: String) {
        if (definition.type == SettingType.ENDPOINTS) {
            IpEndpoint.parse(text).onLeft { addError(definition, it.message, it.remedy) }
        } else if (!IpEndpoint.isIpAddress(text)) {
            addError(definition, "'$text' is not an IP address", "Give an IP address; host names are not resolved.")
        }
    }

    private companion object {
        const val MINIMUM_SECRET_LENGTH = 32
        val lineNumberPattern = Regex("""Line (\d+)""")
    }
}
