package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;

/** What the joins of one replica work with; all of it is used on the replica's event loop. */
record JoinContext(
    RecordNames names,
    RecordStore records,
    Replica replica,
    ReplicaMembership membership,
    RpcClient rpcClient,
    Timers timers) {}
