package elmsail.consensus;

import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of a replica's membership, and what other classes and processes may know of it: only
 * what is on disk is published, so that no process learns of a claim that its maker may forget.
 * Used on the replica's event loop.
 */
final class DurableMembership {
  private static final Logger LOG = LoggerFactory.getLogger(DurableMembership.class);

  /** After a failed write. */
  private static final long REWRITE_DELAY_MS = 300;

  private final String set;
  private final RecordNames names;
  private final DurableRecords durableRecords;
  private final ReplicaMembership membership;
  private final Timers timers;
  private final List<Runnable> votingListeners = new ArrayList<>();

  /** Whether the membership as it is in memory is on disk or on its way there. */
  private boolean written = true;

  private boolean publishedVoting;
  private VoterSet publishedVoterSet;

  /**
   * Publishes the membership as it was read from disk.
   *
   * @param membership see {@link #read}
   */
  DurableMembership(
      RecordNames names,
      DurableRecords durableRecords,
      ReplicaMembership membership,
      Timers timers) {
    set = names.set();
    this.names = names;
    this.durableRecords = durableRecords;
    this.membership = membership;
    this.timers = timers;
    publishedVoting = membership.isVoting();
    publishedVoterSet = membership.voterSet();
  }

  /** Reads the membership of this instance from its records. */
  static ReplicaMembership read(ReplicaIdentity identity, RecordNames names, RecordStore records) {
    ReplicaMembership membership =
        new ReplicaMembership(
            identity.address(),
            identity.machine(),
            records.instanceId(),
            VoterSetCodec.decode(records.read(names.voterSetRecord())),
            RecordNames.epochFromBytes(records.read(names.votingRecord())));
    membership.joiningAsSpare(records.read(names.spareRecord()) != null);
    return membership;
  }

  /** Whether the replica votes, and its disk says so. */
  boolean isVoting() {
    return publishedVoting && membership.isVoting();
  }

  /** The voter set as it is on disk; without voters if none is known. */
  VoterSet voterSet() {
    return publishedVoterSet;
  }

  /** Adds a listener, called after the replica started or stopped to vote. */
  void addVotingListener(Runnable listener) {
    votingListeners.add(listener);
  }

  /**
   * Writes the membership as it is now. That the replica stopped voting is published at once, all
   * else once it is on disk.
   */
  CompletableFuture<Void> onVoterSetChanged() {
    CompletableFuture<Void> write = write();
    if (!membership.isVoting()) {
      publishVoting();
    }
    return write;
  }

  /**
   * Writes the membership as it is now, as one batch: a vote is written behind it, so that an
   * instance that voted never takes itself for a new one.
   */
  CompletableFuture<Void> write() {
    int caughtUpEpoch = membership.caughtUpEpoch();
    VoterSet voterSet = membership.voterSet();
    CompletableFuture<Void> write =
        durableRecords.write(
            List.of(
                new Change(names.voterSetRecord(), VoterSetCodec.encode(voterSet)),
                new Change(
                    names.votingRecord(),
                    caughtUpEpoch == 0 ? null : RecordNames.epochToBytes(caughtUpEpoch)),
                new Change(
                    names.spareRecord(),
                    membership.joiningAsSpare() ? RecordNames.epochToBytes(1) : null)));
    written = true;
    write.whenComplete((none, failure) -> onWritten(voterSet, failure));
    return write;
  }

  private void onWritten(VoterSet voterSet, Throwable failure) {
    if (failure == null) {
      publishedVoterSet = voterSet;
      publishVoting();
      return;
    }
    written = false;
    timers.schedule(REWRITE_DELAY_MS, this::rewriteIfFailed);
    LOG.warn("voter set not written: set={} code={}", set, ElmsailException.codeOf(failure));
  }

  /** Whether the membership as it is in memory is on disk or on its way there. */
  boolean isWritten() {
    return written;
  }

  /** Writes again after a failed write: in time, or before a request that relies on it. */
  void rewriteIfFailed() {
    if (!written) {
      write();
    }
  }

  private void publishVoting() {
    boolean voting = membership.isVoting();
    if (voting != publishedVoting) {
      publishedVoting = voting;
      LOG.info("{}: set={}", voting ? "replica voting" : "replica not voting", set);
      for (Runnable listener : votingListeners) {
        listener.run();
      }
    }
  }
}
