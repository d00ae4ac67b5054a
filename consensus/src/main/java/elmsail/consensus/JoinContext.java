package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;

/** The collaborators of the joins of one replica. All are used on the replica's event loop. */
record JoinContext(
    RecordNames names,
    RecordStore records,
    Replica replica,
    ReplicaMembership membership,
    RpcClient rpcClient,
    Timers timers) {}
