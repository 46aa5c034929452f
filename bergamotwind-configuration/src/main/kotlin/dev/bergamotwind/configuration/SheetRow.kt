package dev.bergamotwind.configuration

/** A row of the planning sheet with the edit that puts its item. [line] is 1-based and counts the header. */
public data class SheetRow(val line: Int, val kind: SheetKind, val id: String, val edit: ConfigurationEdit)
