package dev.bergamotwind.replay

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Output format of replay results. */
internal enum class ReplayFormat(val render: (List<ReplayResult>) -> String) {
    TABLE(ReplayTable::render),
    JSON({ results -> Json.encodeToString(ListSerializer(ReplayResult.serializer()), results) + "\n" }),
}
