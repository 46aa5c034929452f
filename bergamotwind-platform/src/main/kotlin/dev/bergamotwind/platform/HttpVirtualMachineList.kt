package dev.bergamotwind.platform

import arrow.core.Either
import arrow.core.flatMap
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.VirtualMachine
import dev.bergamotwind.api.VirtualMachineList

/** The platform's VM list, read from `GET /vms` as a JSON array. */
public class HttpVirtualMachineList(private val client: PlatformClient) : VirtualMachineList {
    override fun read(): Either<Failure, List<VirtualMachine>> = client.call(CallKind.VIRTUAL_MACHINES)
        .flatMap { EtcdCodec.decode<List<VirtualMachine>>(it.contentUtf8()) }
}
