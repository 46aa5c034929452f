package dev.bergamotwind.api

import arrow.core.Either

/** The platform's list of live and leaving VMs. It lags: a VM that is gone may still be listed. */
public interface VirtualMachineList {
    /** Reads the whole list. */
    public fun read(): Either<Failure, List<VirtualMachine>>
}
