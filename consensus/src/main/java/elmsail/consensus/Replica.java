package elmsail.consensus;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The voter's side of one set: records of its keys, its voter set, and whether this process votes.
 * An answer leaves only once all that it relies on is safe on disk. One replica at most for each
 * {@link RequestHandlers}.
 */
public final class Replica {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  private static final long REWRITE_DELAY_MS = 300;

  private final String set;
  private final RecordStore records;
  private final ReplicaListener listener;
  private final Timers timers;
  final ReplicaMembership membership;
  private final RecordNames names;
  private final DurableRecords durableRecords;
  private final ReplicaJoin join;
  private final List<Runnable> votingListeners = new ArrayList<>();

  /**
   * Whether the disk has, or is being given, the voter set and {@code seated} as they are in
   * memory.
   */
  private boolean membershipWritten = true;

  private boolean publishedVoting;

  /**
   * As it is on disk: what isn't safe is told to nobody, so that no claim is known that its maker
   * forgot.
   */
  private VoterSet publishedVoterSet;

  /**
   * Reads its records; votes at once if this instance was voting when it ended.
   *
   * @param metrics the process's figures and invariants
   */
  public Replica(
      String set,
      RecordStore records,
      ReplicaListener listener,
      RequestHandlers handlers,
      RpcClient rpcClient,
      Timers timers,
      String ownAddress,
      String machine,
      ProcessMetrics metrics) {
    this.set = set;
    this.records = records;
    this.listener = listener;
    this.timers = timers;
    names = new RecordNames(set);
    durableRecords = new DurableRecords(records, names);
    byte[] voting = records.read(names.votingRecord());
    membership =
        new ReplicaMembership(
            ownAddress,
            machine,
            records.instanceId(),
            VoterSetCodec.decode(records.read(names.voterSetRecord())),
            RecordNames.epochFromBytes(voting));
    membership.joiningAsSpare(records.read(names.spareRecord()) != null);
    join = new ReplicaJoin(set, this, membership, records, rpcClient, timers);
    publishedVoting = membership.isVoting();
    publishedVoterSet = membership.voterSet();
    if (publishedVoting) {
      notifyAcceptedValues();
    }
    new ReplicaRequestHandler(
            set, records, names, durableRecords, listener, membership, this, metrics)
        .register(handlers);
    new PrepareRelay(rpcClient, timers).register(handlers);
    registerGauges(metrics.counters());
    timers.execute(join::onMembershipChanged);
  }

  private void registerGauges(Counters counters) {
    counters.registerGauge("replica_voting", () -> isVoting() ? 1 : 0);
    counters.registerGauge("replica_join_under_way", () -> membership.isJoining() ? 1 : 0);
    counters.registerGauge("replica_keys_kept", () -> records.count(names.keys()));
    counters.registerGauge("replica_blobs_kept", () -> records.count(names.blobs()));
  }

  /**
   * The first voter set of all: taken only while nothing is known here and if it names this
   * instance at epoch 1. An instance ends with its disk's content, so one that is named so never
   * voted before; it votes as soon as this is on disk.
   */
  public void bootstrap(VoterSet initial) {
    int slot = VoterSets.slotOfInstance(initial, membership.instanceId());
    if (membership.voterSet().voters.isEmpty()
        && slot >= 0
        && initial.voters.get(slot).epoch == 1) {
      learn(initial);
    }
  }

  /** Whether it votes, and its disk says so. */
  public boolean isVoting() {
    return publishedVoting && membership.isVoting();
  }

  /** As known here and safe; without voter slots if nothing is known. */
  public VoterSet voterSet() {
    return publishedVoterSet;
  }

  /**
   * Merged by the higher epoch of each voter slot, on disk before any vote that relies on it. Where
   * another instance of this address or station holds a voter slot, that is claimed; where this
   * instance's voter slot is another's now, it votes no more.
   */
  public void learn(VoterSet received) {
    if (membership.learn(received)) {
      onVoterSetChanged();
    }
    join.onMembershipChanged();
  }

  /**
   * Takes over the voter slot of another; nothing happens if this process has or claims one, or
   * knows of more.
   */
  public void join(int slot, int epoch) {
    join.join(slot, epoch);
  }

  /** Forgets the key and its blobs: only for keys that nobody changes or reads any more. */
  public void dropKey(String key) {
    durableRecords.removeKey(key);
    listener.onDropped(key);
  }

  /** Keys that have a record, also those that were only promised. */
  public Iterable<String> keys() {
    return names.keys(records);
  }

  /** The value accepted here last, decided or not; null if there is none. */
  public byte[] acceptedValue(String key) {
    return durableRecords.state(key).value();
  }

  /** Null if it isn't kept here. */
  public byte[] blob(String key, String name) {
    return records.read(names.blob(key, name));
  }

  /** Called on the loop after {@link #seated()} became another. */
  public void addVotingListener(Runnable listener) {
    votingListeners.add(listener);
  }

  /** Before copying: what an earlier voter slot left, and what was copied by an earlier try. */
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
   * Writes the voter set as it is now; the watchers hear at once if this process stopped voting by
   * it.
   */
  CompletableFuture<Void> onVoterSetChanged() {
    if (membership.isInitialVoter()) {
      membership.caughtUpEpoch(1);
    }
    CompletableFuture<Void> write = writeMembership();
    if (!membership.isVoting()) {
      publishVoting();
    }
    return write;
  }

  /** All that had to be copied is on disk. */
  void onTransferCompleted(int epoch) {
    notifyAcceptedValues();
    membership.caughtUpEpoch(epoch);
    membership.joiningAsSpare(false);
    writeMembership();
  }

  /**
   * Both together: a vote is written behind them, so that an instance that voted never takes itself
   * for new.
   */
  private CompletableFuture<Void> writeMembership() {
    int caughtUpEpoch = membership.caughtUpEpoch();
    VoterSet written = membership.voterSet();
    CompletableFuture<Void> write =
        write(
            List.of(
                new Change(names.voterSetRecord(), VoterSetCodec.encode(written)),
                new Change(
                    names.votingRecord(),
                    caughtUpEpoch == 0 ? null : RecordNames.epochToBytes(caughtUpEpoch)),
                new Change(
                    names.spareRecord(),
                    membership.joiningAsSpare() ? RecordNames.epochToBytes(1) : null)));
    membershipWritten = true;
    write.whenComplete(
        (none, failure) -> {
          if (failure == null) {
            publishedVoterSet = written;
            publishVoting();
          } else {
            membershipWritten = false;
            timers.schedule(REWRITE_DELAY_MS, this::rewriteMembership);
            LOG.warn(
                "{}: the voter set could not be written: {}",
                set,
                ElmsailException.codeOf(failure));
          }
        });
    return write;
  }

  /** Whether the disk has, or is being given, the voter set as it is in memory. */
  boolean isMembershipWritten() {
    return membershipWritten;
  }

  /** After a failed write, in time or before what relies on it. */
  void rewriteMembership() {
    if (!membershipWritten) {
      writeMembership();
    }
  }

  private void publishVoting() {
    boolean voting = membership.isVoting();
    if (voting != publishedVoting) {
      publishedVoting = voting;
      LOG.info("{}: {}", set, voting ? "voting" : "not voting");
      for (Runnable votingListener : votingListeners) {
        votingListener.run();
      }
    }
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
