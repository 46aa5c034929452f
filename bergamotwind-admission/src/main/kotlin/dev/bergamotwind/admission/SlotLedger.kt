package dev.bergamotwind.admission

import arrow.core.getOrElse
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.VirtualMachineList
import dev.bergamotwind.api.VmId
import kotlinx.serialization.json.Json

/**
 * Holds this VM's slot. Every record carries the divisor of its share, and the shares of all records sum up to at most
 * one at any time:
 *  - a share that shrinks or ends does so in the buckets first and in the record afterwards;
 *  - a share that is taken or grows does so by a transaction on the sum that was read, guarded by a record that every
 *    such transaction writes, and in the buckets only after the transaction is known to have been applied.
 *
 * So nodes that apply a new slot count at different times, or not at all while they are partitioned, never count a
 * share twice; a share that would not fit yet stays at its old size or is not taken. A lost answer is settled by the
 * next reading, which finds the record as it is.
 */
internal class SlotLedger(
    private val service: KeyValueService,
    private val machines: VirtualMachineList,
    private val vm: VmId,
    private val holder: RateShareHolder,
) {
    private class Slot(val number: Int, val record: SlotRecord, val entry: KeyValueEntry)

    private class View(val slots: List<Slot>, val guard: KeyValueEntry?) {
        fun sharesExcept(number: Int): Double = slots.filter { it.number != number }.sumOf { 1.0 / it.record.divisor }
    }

    private class Absence(val vm: String, val modifiedAt: Long, val sinceNanos: Long)

    private val absences = HashMap<Int, Absence>()
    private var heldDivisor = 0
    private var nextCheckNanos = Long.MIN_VALUE
    private var checkedSlots = 0

    /** Reads the records when due, or when [entrySlots] has changed, and takes one step towards holding a slot. */
    fun tick(nowNanos: Long, entrySlots: Int) {
        if (nowNanos < nextCheckNanos && entrySlots == checkedSlots) return
        val view = read() ?: return
        val listed = machines.read().getOrNull()?.map { it.id.value }?.toSet()
        val own = view.slots.filter { it.record.vm == vm.value }.sortedBy { it.number }
        val kept = own.firstOrNull()?.takeIf { it.number < entrySlots }
        val settled = if (kept != null) keep(view, kept, own, entrySlots) else take(view, own, entrySlots, listed)
        if (listed != null) releaseAbandoned(view, listed, nowNanos)
        nextCheckNanos = nowNanos + if (settled) SLOT_CHECK_INTERVAL.inWholeNanoseconds else 0
        checkedSlots = entrySlots
    }

    private fun read(): View? {
        val guard = service.get(RateKeys.SLOT_GUARD).getOrElse { return null }
        val entries = service.list(KeyRange(RateKeys.SLOTS)).getOrElse { return null }.entries
        val slots = entries.mapNotNull { entry ->
            RateKeys.number(entry.key)?.let { Slot(it, Json.decodeFromString<SlotRecord>(entry.value), entry) }
        }
        return View(slots, guard)
    }

    /** Follows the kept record, and gives up further ones that a late write may have left. */
    private fun keep(view: View, kept: Slot, own: List<Slot>, entrySlots: Int): Boolean {
        own.drop(1).forEach(::release)
        val divisor = kept.record.divisor
        return when {
            divisor < entrySlots -> {
                hold(entrySlots)
                val record = Operation.Put(kept.entry.key, encode(entrySlots))
                apply(Transaction(listOf(unchanged(kept.entry)), listOf(record)))
            }

            divisor > entrySlots && fits(view, kept.number, entrySlots) -> {
                hold(divisor)
                claim(view, unchanged(kept.entry), kept.number, entrySlots).also { if (it) hold(entrySlots) }
            }

            else -> {
                hold(divisor)
                true
            }
        }
    }

    private fun take(view: View, own: List<Slot>, entrySlots: Int, listed: Set<String>?): Boolean {
        hold(0)
        own.forEach(::release)
        // A VM that the list does not show yet could lose its slot to another node at once.
        if (own.isNotEmpty() || listed == null || vm.value !in listed) return false
        val taken = view.slots.map { it.number }.toSet()
        val free = (0 until entrySlots).firstOrNull { it !in taken && fits(view, it, entrySlots) } ?: return true
        return claim(view, Compare.Absent(RateKeys.slot(free)), free, entrySlots).also { if (it) hold(entrySlots) }
    }

    /**
     * Releases slots whose VM has been missing from the list for long enough. Every node does so, since a slot left
     * behind also keeps the others from growing when the slot count falls.
     */
    private fun releaseAbandoned(view: View, listed: Set<String>, nowNanos: Long) {
        val missing = view.slots.filter { it.record.vm !in listed && it.record.vm != vm.value }
        absences.keys.retainAll(missing.map { it.number }.toSet())
        for (slot in missing) {
            val modifiedAt = slot.entry.modificationRevision.value
            val known = absences[slot.number]?.takeIf { it.vm == slot.record.vm && it.modifiedAt == modifiedAt }
            if (known == null) {
                absences[slot.number] = Absence(slot.record.vm, modifiedAt, nowNanos)
            } else if (nowNanos - known.sinceNanos >= SLOT_HANDOVER_WAIT.inWholeNanoseconds) {
                release(slot)
            }
        }
    }

    private fun fits(view: View, number: Int, divisor: Int): Boolean =
        view.sharesExcept(number) + 1.0 / divisor <= 1 + ROUNDING

    private fun claim(view: View, compare: Compare, number: Int, divisor: Int): Boolean {
        val guard = view.guard?.let(::unchanged) ?: Compare.Absent(RateKeys.SLOT_GUARD)
        val operations = listOf(
            Operation.Put(RateKeys.SLOT_GUARD, vm.value),
            Operation.Put(RateKeys.slot(number), encode(divisor)),
        )
        return apply(Transaction(listOf(guard, compare), operations))
    }

    private fun release(slot: Slot) {
        apply(Transaction(listOf(unchanged(slot.entry)), listOf(Operation.Delete(slot.entry.key))))
    }

    private fun apply(transaction: Transaction): Boolean = service.transact(transaction).fold({ false }, { it.applied })

    private fun hold(divisor: Int) {
        if (divisor == heldDivisor) return
        holder.holdSlot(divisor)
        heldDivisor = divisor
    }

    private fun unchanged(entry: KeyValueEntry) = Compare.ModifiedAt(entry.key, entry.modificationRevision)

    private fun encode(divisor: Int) = Json.encodeToString(SlotRecord(vm.value, divisor))

    private companion object {
        const val ROUNDING = 1e-9
    }
}
