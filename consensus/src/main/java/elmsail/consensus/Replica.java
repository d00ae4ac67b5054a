package elmsail.consensus;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Counters;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The voter side of one set in one process: the records of its keys, its voter set, and whether it
 * votes. A response is sent only when all records that it depends on are on disk.
 *
 * <p>Runs on one event loop, on which all methods are called. There is at most one replica for each
 * {@link RequestHandlers}.
 */
public final class Replica {
  private final RecordStore records;
  private final ReplicaListener listener;
  private final RecordNames names;
  private final DurableRecords durableRecords;
  private final DurableMembership durableMembership;
  private final ReplicaJoin join;
  final ReplicaMembership membership;

  /**
   * Reads the records, and registers the handlers of all requests to a replica. Votes at once if
   * this instance was voting when its process ended.
   *
   * @param listener notified within this call of the values on disk, if the replica votes
   * @param rpcClient used by joins, state transfers and relayed prepare requests
   * @param metrics the metrics of the process, to which the replica adds its own
   * @throws elmsail.runtime.ElmsailException of code {@code STORAGE_FAILURE} if a record cannot be
   *     read
   */
  public Replica(
      ReplicaIdentity identity,
      RecordStore records,
      ReplicaListener listener,
      RequestHandlers handlers,
      RpcClient rpcClient,
      Timers timers,
      ProcessMetrics metrics) {
    this.records = records;
    this.listener = listener;
    names = new RecordNames(identity.set());
    durableRecords = new DurableRecords(records, names);
    membership = DurableMembership.read(identity, names, records);
    join = new ReplicaJoin(new JoinContext(names, records, this, membership, rpcClient, timers));
    durableMembership = new DurableMembership(names, durableRecords, membership, timers);
    if (membership.isVoting()) {
      notifyAcceptedValues();
    }
    new ReplicaRequestHandler(records, names, durableRecords, listener, this, metrics)
        .register(handlers);
    new PrepareRelay(rpcClient, timers).register(handlers);
    registerGauges(metrics.counters());
    timers.execute(join::onMembershipChanged);
  }

  private void registerGauges(Counters counters) {
    counters.registerGauge("replica_voting", () -> isVoting() ? 1 : 0);
    counters.registerGauge("replica_join_under_way", () -> membership.isJoining() ? 1 : 0);
    counters.registerGauge("replica_keys_kept", () -> records.count(names.keyPrefix()));
    counters.registerGauge("replica_blobs_kept", () -> records.count(names.blobPrefix()));
  }

  /**
   * Bootstraps the set: adopts its first voter set, if no voter set is known here and the first one
   * names this instance under epoch 1. The replica votes as soon as the voter set is on disk. This
   * is safe because an instance id is lost together with the content of its disk, so an instance
   * that is named as an initial voter has never voted before.
   */
  public void bootstrap(VoterSet initial) {
    int slot = VoterSets.slotOfInstance(initial, membership.instanceId());
    if (membership.voterSet().voters.isEmpty()
        && slot >= 0
        && initial.voters.get(slot).epoch == 1) {
      learn(initial);
    }
  }

  /** Whether this replica votes, and the record of that is on disk. */
  public boolean isVoting() {
    return durableMembership.isVoting();
  }

  /** The voter set on this replica's disk; without voters if none is known. */
  public VoterSet voterSet() {
    return durableMembership.voterSet();
  }

  /**
   * Merges a voter set. The result is on disk before any vote that depends on it. If an earlier
   * instance of this address or machine holds a slot, this instance claims that slot. If another
   * instance holds this instance's slot now, this instance stops voting.
   */
  public void learn(VoterSet received) {
    if (membership.learn(received)) {
      onVoterSetChanged();
    }
    join.onMembershipChanged();
  }

  /**
   * Starts to take over the voter slot of another instance. Does nothing if this instance has a
   * slot or claims one, or if the slot is known under this or a higher epoch.
   *
   * @param epoch the epoch of the claim: one above the epoch of the current voter
   */
  public void join(int slot, int epoch) {
    join.join(slot, epoch);
  }

  /**
   * Removes a key and its blobs here. The caller guarantees that the key is never changed or read
   * after this call.
   */
  public void dropKey(String key) {
    durableRecords.removeKey(key);
    listener.onDropped(key);
  }

  /** The keys that have a record here, including keys with a promise and no value. */
  public Iterable<String> keys() {
    return names.keysIn(records);
  }

  /** The value that was accepted here last, committed or not; null if there is none. */
  public byte[] acceptedValue(String key) {
    return durableRecords.state(key).value();
  }

  /** The bytes of a blob; null if the blob is not stored here. */
  public byte[] blob(String key, String name) {
    return records.read(names.blobRecord(key, name));
  }

  /** Adds a listener, called on the loop after {@link #isVoting()} changed. */
  public void addVotingListener(Runnable votingListener) {
    durableMembership.addVotingListener(votingListener);
  }

  /** The published membership and its records. */
  DurableMembership durableMembership() {
    return durableMembership;
  }

  /** Removes the keys of an earlier slot or join, before a state transfer. */
  void dropAllKeys() {
    for (String key : keys()) {
      listener.onDropped(key);
    }
    durableRecords.removeAll();
  }

  CompletableFuture<Void> write(List<Change> changes) {
    return durableRecords.write(changes);
  }

  /**
   * Writes the voter set after it changed in memory.
   *
   * @return completes when the voter set is on disk
   */
  CompletableFuture<Void> onVoterSetChanged() {
    if (membership.isInitialVoter()) {
      membership.caughtUpEpoch(1);
    }
    return durableMembership.onVoterSetChanged();
  }

  /**
   * Called when all records are copied and on disk. The replica votes as soon as the completion of
   * the transfer is on disk too.
   */
  void onTransferCompleted(int epoch) {
    notifyAcceptedValues();
    membership.caughtUpEpoch(epoch);
    membership.joiningAsSpare(false);
    durableMembership.write();
  }

  private void notifyAcceptedValues() {
    for (String key : keys()) {
      AcceptorState state = durableRecords.state(key);
      if (!Ballots.isNone(state.accepted())) {
        listener.onAccepted(key, state.value());
      }
      if (state.value() == null && Ballots.compare(state.promised(), state.accepted()) > 0) {
        listener.onPromised(key);
      }
    }
  }
}
