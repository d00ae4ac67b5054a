package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
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

  private static final long REWRITE_MS = 300;

  private final String set;
  private final RecordStore records;
  private final ReplicaListener views;
  private final Timers timers;
  final Membership membership;
  private final RecordNames names;
  private final DurableRecords safe;
  private final ReplicaJoin newcomer;
  private final List<Runnable> watchers = new ArrayList<>();

  /**
   * Whether the disk has, or is being given, the voter set and {@code seated} as they are in
   * memory.
   */
  private boolean membershipGiven = true;

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
      ReplicaListener views,
      RequestHandlers answering,
      RpcClient caller,
      Timers timers,
      String ownAddress,
      String station,
      ProcessMetrics metrics) {
    this.set = set;
    this.records = records;
    this.views = views;
    this.timers = timers;
    names = new RecordNames(set);
    safe = new DurableRecords(records, names);
    byte[] voting = records.read(names.voting());
    membership =
        new Membership(
            ownAddress,
            station,
            records.instanceId(),
            VoterSetCodec.voterSet(records.read(names.voterSet())),
            RecordNames.epoch(voting));
    membership.spare(records.read(names.spare()) != null);
    newcomer = new ReplicaJoin(set, this, membership, records, caller, timers);
    publishedVoting = membership.voting();
    publishedVoterSet = membership.voterSet();
    if (publishedVoting) {
      tellValues();
    }
    new ReplicaRequests(set, records, names, safe, views, membership, this, metrics)
        .register(answering);
    new PrepareRelay(caller, timers).register(answering);
    gauges(metrics.counters());
    timers.execute(newcomer::consider);
  }

  private void gauges(Counters counters) {
    counters.registerGauge("replica_voting", () -> voting() ? 1 : 0);
    counters.registerGauge("replica_join_under_way", () -> membership.joining() ? 1 : 0);
    counters.registerGauge("replica_keys_kept", () -> records.count(names.keys()));
    counters.registerGauge("replica_blobs_kept", () -> records.count(names.blobs()));
  }

  /**
   * The first voter set of all: taken only while nothing is known here and if it names this
   * instance at epoch 1. An instance ends with its disk's content, so one that is named so never
   * voted before; it votes as soon as this is on disk.
   */
  public void found(VoterSet founding) {
    int slot = VoterSets.ofInstance(founding, membership.instanceId());
    if (membership.voterSet().voters.isEmpty()
        && slot >= 0
        && founding.voters.get(slot).epoch == 1) {
      learn(founding);
    }
  }

  /** Whether it votes, and its disk says so. */
  public boolean voting() {
    return publishedVoting && membership.voting();
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
  public void learn(VoterSet response) {
    if (membership.learn(response)) {
      voterSetChanged();
    }
    newcomer.consider();
  }

  /**
   * Takes over the voter slot of another; nothing happens if this process has or claims one, or
   * knows of more.
   */
  public void join(int slot, int epoch) {
    newcomer.join(slot, epoch);
  }

  /** Forgets the key and its blobs: only for keys that nobody changes or reads any more. */
  public void drop(String key) {
    safe.drop(key);
    views.dropped(key);
  }

  /** Keys that have a record, also those that were only promised. */
  public Iterable<String> keys() {
    return names.keys(records);
  }

  /** The value accepted here last, decided or not; null if there is none. */
  public byte[] value(String key) {
    return safe.state(key).value();
  }

  /** Null if it isn't kept here. */
  public byte[] blob(String key, String name) {
    return records.read(names.blob(key, name));
  }

  /** Called on the loop after {@link #seated()} became another. */
  public void whenVotingChanges(Runnable then) {
    watchers.add(then);
  }

  /** Before copying: what an earlier voter slot left, and what was copied by an earlier try. */
  void forget() {
    for (String key : keys()) {
      views.dropped(key);
    }
    safe.forget();
  }

  CompletableFuture<Void> write(List<Change> changes) {
    return safe.write(changes);
  }

  /**
   * Writes the voter set as it is now; the watchers hear at once if this process stopped voting by
   * it.
   */
  CompletableFuture<Void> voterSetChanged() {
    if (membership.founded()) {
      membership.caughtUp(1);
    }
    CompletableFuture<Void> written = writeMembership();
    if (!membership.voting()) {
      publishVoting();
    }
    return written;
  }

  /** All that had to be copied is on disk. */
  void caughtUp(int epoch) {
    tellValues();
    membership.caughtUp(epoch);
    membership.spare(false);
    writeMembership();
  }

  /**
   * Both together: a vote is written behind them, so that an instance that voted never takes itself
   * for new.
   */
  private CompletableFuture<Void> writeMembership() {
    int caughtUp = membership.caughtUp();
    VoterSet given = membership.voterSet();
    CompletableFuture<Void> written =
        write(
            List.of(
                new Change(names.voterSet(), VoterSetCodec.of(given)),
                new Change(names.voting(), caughtUp == 0 ? null : RecordNames.bytes(caughtUp)),
                new Change(names.spare(), membership.spare() ? RecordNames.bytes(1) : null)));
    membershipGiven = true;
    written.whenComplete(
        (none, failure) -> {
          if (failure == null) {
            publishedVoterSet = given;
            publishVoting();
          } else {
            membershipGiven = false;
            timers.schedule(REWRITE_MS, this::rewriteMembership);
            LOG.warn(
                "{}: the voter set could not be written: {}",
                set,
                ElmsailException.codeOf(failure));
          }
        });
    return written;
  }

  /** Whether the disk has, or is being given, the voter set as it is in memory. */
  boolean membershipWritten() {
    return membershipGiven;
  }

  /** After a failed write, in time or before what relies on it. */
  void rewriteMembership() {
    if (!membershipGiven) {
      writeMembership();
    }
  }

  private void publishVoting() {
    boolean voting = membership.voting();
    if (voting != publishedVoting) {
      publishedVoting = voting;
      LOG.info("{}: {}", set, voting ? "voting" : "not voting");
      for (Runnable watcher : watchers) {
        watcher.run();
      }
    }
  }

  private void tellValues() {
    for (String key : keys()) {
      byte[] value = value(key);
      if (value != null) {
        views.taken(key, value);
      } else {
        views.promised(key);
      }
    }
  }
}
