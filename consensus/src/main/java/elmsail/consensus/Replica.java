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
 * votes. A response leaves only once all that it relies on is on disk.
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
   * @param rpcClient for the calls of joins, state transfers and relayed prepares
   * @param metrics of the process, to which those of the replica are added
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
   * Bootstraps the set: takes its first voter set, if none is known here and if that names this
   * instance under epoch 1. The replica votes as soon as the voter set is on disk. This is safe
   * because an instance id ends with the content of its disk, so an instance that is named as an
   * initial voter has never voted before.
   */
  public void bootstrap(VoterSet initial) {
    int slot = VoterSets.slotOfInstance(initial, membership.instanceId());
    if (membership.voterSet().voters.isEmpty()
        && slot >= 0
        && initial.voters.get(slot).epoch == 1) {
      learn(initial);
    }
  }

  /** Whether this replica votes, and its disk says so. */
  public boolean isVoting() {
    return durableMembership.isVoting();
  }

  /** The voter set as it is on disk here; without voters if none is known. */
  public VoterSet voterSet() {
    return durableMembership.voterSet();
  }

  /**
   * Merges a voter set, which is on disk before any vote that relies on it. If another instance of
   * this address or machine holds a slot, that is claimed; if this instance's slot is another's
   * now, it votes no more.
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
   * @param epoch of the claim: one above that of the present voter
   */
  public void join(int slot, int epoch) {
    join.join(slot, epoch);
  }

  /** Removes a key and its blobs here: only for keys that are never changed or read again. */
  public void dropKey(String key) {
    durableRecords.removeKey(key);
    listener.onDropped(key);
  }

  /** The keys that have a record here, those that were only promised included. */
  public Iterable<String> keys() {
    return names.keysIn(records);
  }

  /** The value accepted here last, committed or not; null if there is none. */
  public byte[] acceptedValue(String key) {
    return durableRecords.state(key).value();
  }

  /** The bytes of a blob as stored here; null if it isn't. */
  public byte[] blob(String key, String name) {
    return records.read(names.blobRecord(key, name));
  }

  /** Adds a listener, called on the loop after {@link #isVoting()} changed. */
  public void addVotingListener(Runnable votingListener) {
    durableMembership.addVotingListener(votingListener);
  }

  /** The published membership, with its records. */
  DurableMembership durableMembership() {
    return durableMembership;
  }

  /** Removes what an earlier slot or an earlier join left, before a state transfer. */
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
   * The voter set in memory changed: writes it.
   *
   * @return completes once it is on disk
   */
  CompletableFuture<Void> onVoterSetChanged() {
    if (membership.isInitialVoter()) {
      membership.caughtUpEpoch(1);
    }
    return durableMembership.onVoterSetChanged();
  }

  /** All records are copied and on disk: votes as soon as that is on disk too. */
  void onTransferCompleted(int epoch) {
    notifyAcceptedValues();
    membership.caughtUpEpoch(epoch);
    membership.joiningAsSpare(false);
    durableMembership.write();
  }

  private void notifyAcceptedValues() {
    for (String key : keys()) {
      byte[] value = acceptedValue(key);
      if (value != null) {
        listener.onAccepted(key, value);
      } else {
        listener.onPromised(key);
      }
    }
  }
}
