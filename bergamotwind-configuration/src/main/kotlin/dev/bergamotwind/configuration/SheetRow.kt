package dev.bergamotwind.configuration

/** A row of the planning sheet as the edit that puts its item. [line] counts from 1 with the header. */
public data class SheetRow(val line: Int, val kind: SheetKind, val id: String, val edit: ConfigurationEdit)
