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
 * The records of a replica's membership, and the part of the membership that other classes and
 * processes may see. Only what is on disk is published: a claim in memory alone would be lost if
 * this process restarted, so no other process may learn it. Used on the replica's event loop.
 */
final class DurableMembership {
  private static final Logger LOG = LoggerFactory.getLogger(DurableMembership.class);

  /** The delay before a failed write of the membership is repeated. */
  private static final long REWRITE_DELAY_MS = 300;

  private final String set;
  private final RecordNames names;
  private final DurableRecords durableRecords;
  private final ReplicaMembership membership;
  private final Timers timers;
  private final List<Runnable> votingListeners = new ArrayList<>();

  /** Whether the membership in memory is on disk or is being written. */
  private boolean written = true;

  private boolean publishedVoting;
  private VoterSet publishedVoterSet;

  /**
   * Publishes the membership that was read from disk.
   *
   * @param membership the result of {@link #read}
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

  /** Whether the replica votes, and the record of that is on disk. */
  boolean isVoting() {
    return publishedVoting && membership.isVoting();
  }

  /** The voter set on disk; without voters if none is known. */
  VoterSet voterSet() {
    return publishedVoterSet;
  }

  /** Adds a listener, called after the replica started or stopped voting. */
  void addVotingListener(Runnable listener) {
    votingListeners.add(listener);
  }

  /**
   * Writes the current membership. If the replica stopped voting, this is published at once; every
   * other change is published when it is on disk.
   */
  CompletableFuture<Void> onVoterSetChanged() {
    CompletableFuture<Void> write = write();
    if (!membership.isVoting()) {
      publishVoting();
    }
    return write;
  }

  /**
   * Writes the current membership as one batch. Votes are written after this batch, so an instance
   * that has voted always finds its membership on disk and never treats itself as new.
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

  /** Whether the membership in memory is on disk or is being written. */
  boolean isWritten() {
    return written;
  }

  /**
   * Repeats a failed write. Called after {@link #REWRITE_DELAY_MS}, and before each request that
   * relies on the membership.
   */
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
