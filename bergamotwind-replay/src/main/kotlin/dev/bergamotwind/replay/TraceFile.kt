package dev.bergamotwind.replay

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Failure
import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVRecord
import java.io.Reader

/** Trace files: CSV with a header; the first column of every line names the deployment. */
public object TraceFile {
    private val columns = listOf(
        "deployment", "millis", "kind", "subject", "region", "model", "adapter", "prompt_tokens", "output_tokens",
        "prefix", "deadline_millis",
    )
    private val format = CSVFormat.DEFAULT.builder().setHeader(*columns.toTypedArray()).setRecordSeparator("\n").get()

    /** Writes [trace] to [output]. */
    public fun write(trace: Trace, output: Appendable) {
        val printer = format.print(output)
        for (record in trace.records) {
            printer.printRecord(
                trace.deployment.name, record.millis, record.kind.name.lowercase(), record.subject, record.region,
                record.model, record.adapter, record.promptTokens, record.outputTokens, record.prefix,
                record.deadlineMillis,
            )
        }
    }

    /** Reads a trace; fails with [Failure.Invalid] naming the line. */
    public fun read(input: Reader): Either<Failure, Trace> {
        var line = 1L
        return try {
            val rows = format.builder().setSkipHeaderRecord(true).get().parse(input).use { parser ->
                parser.map { row -> row.also { line = it.recordNumber + 1 } }
            }
            line = 2
            val name = rows.firstOrNull()?.get("deployment").orEmpty()
            val deployment = requireNotNull(Deployment.ofName(name)) { "unknown deployment '$name'" }
            Trace(deployment, rows.map { row -> decode(row.also { line = it.recordNumber + 1 }) }).right()
        } catch (failure: IllegalArgumentException) {
            Failure.Invalid("trace line $line: ${failure.message}", "Correct the line or generate a new trace.").left()
        }
    }

    private fun decode(row: CSVRecord) = TraceRecord(
        row["millis"].toLong(),
        TraceKind.valueOf(row["kind"].uppercase()),
        row["subject"],
        row["region"],
        row["model"],
        row["adapter"],
        row["prompt_tokens"].toInt(),
        row["output_tokens"].toInt(),
        row["prefix"],
        row["deadline_millis"].toLong(),
    )
}
