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
 * Acquires and maintains this VM's slot. Every slot record stores the divisor of its share, and the shares of all
 * records sum to at most one at any time:
 *  - a share shrinks or ends in the buckets first and in the record afterwards;
 *  - a share is acquired or grows by a transaction based on the sum that was read, guarded by a record that every such
 *    transaction writes; the buckets follow only once the transaction is known to have been applied.
 *
 * Therefore nodes that apply a new slot count at different times, or not at all while they are partitioned, never count
 * a share twice; a share that does not fit yet keeps its old size or is not acquired. When the answer to a transaction
 * is lost, the next reading shows whether it was applied.
 */
internal class SlotAllocator(
    private val service: KeyValueService,
    private val virtualMachines: VirtualMachineList,
    private val vm: VmId,
    private val buckets: RateShareBuckets,
) {
    private class Slot(val number: Int, val record: SlotRecord, val entry: KeyValueEntry)

    private class SlotRecords(val slots: List<Slot>, val guard: KeyValueEntry?) {
        fun sumOfSharesExcept(number: Int): Double =
            slots.filter { it.number != number }.sumOf { 1.0 / it.record.divisor }
    }

    private class Absence(val vm: String, val modifiedAt: Long, val missingSinceNanos: Long)

    private val absences = HashMap<Int, Absence>()
    private var heldDivisor = 0
    private var nextCheckNanos = Long.MIN_VALUE
    private var checkedEntrySlots = 0

    /** Reads the records when due or when [entrySlots] has changed, and takes one step towards holding a slot. */
    fun reconcileIfDue(nowNanos: Long, entrySlots: Int) {
        if (nowNanos < nextCheckNanos && entrySlots == checkedEntrySlots) return
        val records = readRecords() ?: return
        val listedVms = virtualMachines.read().getOrNull()?.map { it.id.value }?.toSet()
        val ownSlots = records.slots.filter { it.record.vm == vm.value }.sortedBy { it.number }
        val keptSlot = ownSlots.firstOrNull()?.takeIf { it.number < entrySlots }
        val stable = if (keptSlot != null) {
            maintainSlot(records, keptSlot, ownSlots, entrySlots)
        } else {
            acquireSlot(records, ownSlots, entrySlots, listedVms)
        }
        if (listedVms != null) releaseAbandoned(records, listedVms, nowNanos)
        nextCheckNanos = nowNanos + if (stable) SLOT_CHECK_INTERVAL.inWholeNanoseconds else 0
        checkedEntrySlots = entrySlots
    }

    private fun readRecords(): SlotRecords? {
        val guard = service.get(RateKeys.SLOT_GUARD_KEY).getOrElse { return null }
        val entries = service.list(KeyRange(RateKeys.SLOT_PREFIX)).getOrElse { return null }.entries
        val slots = entries.mapNotNull { entry ->
            RateKeys.numberOf(entry.key)?.let { Slot(it, Json.decodeFromString<SlotRecord>(entry.value), entry) }
        }
        return SlotRecords(slots, guard)
    }

    /** Applies or changes the divisor of [keptSlot], and releases further slots that a late write left. */
    private fun maintainSlot(records: SlotRecords, keptSlot: Slot, ownSlots: List<Slot>, entrySlots: Int): Boolean {
        ownSlots.drop(1).forEach(::releaseSlot)
        val divisor = keptSlot.record.divisor
        return when {
            divisor < entrySlots -> {
                setBucketDivisor(entrySlots)
                val update = Operation.Put(keptSlot.entry.key, encode(entrySlots))
                commit(Transaction(listOf(ifUnchanged(keptSlot.entry)), listOf(update)))
            }

            divisor > entrySlots && shareFits(records, keptSlot.number, entrySlots) -> {
                setBucketDivisor(divisor)
                writeSlot(records, ifUnchanged(keptSlot.entry), keptSlot.number, entrySlots)
                    .also { if (it) setBucketDivisor(entrySlots) }
            }

            else -> {
                setBucketDivisor(divisor)
                true
            }
        }
    }

    private fun acquireSlot(
        records: SlotRecords,
        ownSlots: List<Slot>,
        entrySlots: Int,
        listedVms: Set<String>?,
    ): Boolean {
        setBucketDivisor(0)
        ownSlots.forEach(::releaseSlot)
        // A VM that the list does not show yet could immediately lose its slot to another node.
        if (ownSlots.isNotEmpty() || listedVms == null || vm.value !in listedVms) return false
        val takenNumbers = records.slots.map { it.number }.toSet()
        val freeNumber = (0 until entrySlots).firstOrNull { it !in takenNumbers && shareFits(records, it, entrySlots) }
            ?: return true
        return writeSlot(records, Compare.Absent(RateKeys.slotKey(freeNumber)), freeNumber, entrySlots)
            .also { if (it) setBucketDivisor(entrySlots) }
    }

    /**
     * Releases slots whose VM has been missing from the list for [ABANDONED_SLOT_TIMEOUT]. Every node does so, since an
     * abandoned slot also keeps the shares of the others from growing when the slot count falls.
     */
    private fun releaseAbandoned(records: SlotRecords, listedVms: Set<String>, nowNanos: Long) {
        val missing = records.slots.filter { it.record.vm !in listedVms && it.record.vm != vm.value }
        absences.keys.retainAll(missing.map { it.number }.toSet())
        for (slot in missing) {
            val modifiedAt = slot.entry.modificationRevision.value
            val absence = absences[slot.number]?.takeIf { it.vm == slot.record.vm && it.modifiedAt == modifiedAt }
            if (absence == null) {
                absences[slot.number] = Absence(slot.record.vm, modifiedAt, nowNanos)
            } else if (nowNanos - absence.missingSinceNanos >= ABANDONED_SLOT_TIMEOUT.inWholeNanoseconds) {
                releaseSlot(slot)
            }
        }
    }

    private fun shareFits(records: SlotRecords, number: Int, divisor: Int): Boolean =
        records.sumOfSharesExcept(number) + 1.0 / divisor <= 1 + ROUNDING_TOLERANCE

    private fun writeSlot(records: SlotRecords, compare: Compare, number: Int, divisor: Int): Boolean {
        val guard = records.guard?.let(::ifUnchanged) ?: Compare.Absent(RateKeys.SLOT_GUARD_KEY)
        val operations = listOf(
            Operation.Put(RateKeys.SLOT_GUARD_KEY, vm.value),
            Operation.Put(RateKeys.slotKey(number), encode(divisor)),
        )
        return commit(Transaction(listOf(guard, compare), operations))
    }

    private fun releaseSlot(slot: Slot) {
        commit(Transaction(listOf(ifUnchanged(slot.entry)), listOf(Operation.Delete(slot.entry.key))))
    }

    private fun commit(transaction: Transaction): Boolean =
        service.transact(transaction).fold({ false }, { it.applied })

    private fun setBucketDivisor(divisor: Int) {
        if (divisor == heldDivisor) return
        buckets.setSlotDivisor(divisor)
        heldDivisor = divisor
    }

    private fun ifUnchanged(entry: KeyValueEntry) = Compare.ModifiedAt(entry.key, entry.modificationRevision)

    private fun encode(divisor: Int) = Json.encodeToString(SlotRecord(vm.value, divisor))

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
