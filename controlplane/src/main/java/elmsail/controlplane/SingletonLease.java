package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.LeaseRequest;
import elmsail.rpc.messages.LeaseResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single lease of the control plane: its holder asks the platform for servers and directs who
 * takes voter slots. Whoever holds its lease takes a new term from the register first; the list's
 * epochs are these terms.
 */
final class SingletonLease {
  static final String KEY = "duty";

  private static final Logger LOG = LoggerFactory.getLogger(SingletonLease.class);
  private static final long LOOK_MS = 100;
  private static final long ASK_TIMEOUT_MS = 500;
  private static final long TERM_TIMEOUT_MS = 800;

  private final RpcClient caller;
  private final Timers timers;
  private final Register register;
  private final Supplier<VoterSet> head;
  private final String ownAddress;
  private final long who;
  private Lease lease;
  private long term;

  /** Counts the times that the lease was won: a term belongs to one of them. */
  private long won;

  private boolean taking;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param who drawn anew at each start
   */
  SingletonLease(
      RpcClient caller,
      Timers timers,
      Register register,
      Supplier<VoterSet> head,
      String ownAddress,
      long who) {
    this.caller = caller;
    this.timers = timers;
    this.register = register;
    this.head = head;
    this.ownAddress = ownAddress;
    this.who = who;
  }

  /** Answers the requests for the lease, while this process votes. */
  static void vote(
      RequestHandlers answering, Timers timers, LeaseVoter voter, BooleanSupplier voting) {
    answering.register(
        LeaseRequest.class,
        request -> {
          if (!voting.getAsBoolean()) {
            return CompletableFuture.failedFuture(
                new ElmsailException(ErrorCode.NOT_A_VOTER, "no vote"));
          }
          LeaseResponse response = new LeaseResponse();
          if (request.durationMs <= 0) {
            voter.release(request.instanceId, request.round, timers.now());
          } else {
            response.remainingMs = voter.request(request.instanceId, request.round, timers.now());
            response.granted = response.remainingMs == 0;
          }
          return CompletableFuture.completedFuture(response);
        });
  }

  void start() {
    if (closed) {
      return;
    }
    timers.schedule(LOOK_MS, this::start);
    VoterSet voterSet = head.get();
    int place = VoterSetValue.slotOf(voterSet, ownAddress);
    if (place < 0) {
      return;
    }
    long now = timers.now();
    if (lease == null) {
      lease = new Lease(now, place);
    }
    if (term > 0 && !lease.held(now)) {
      term = 0;
      LOG.info("the singleton lease is lost");
    }
    long round = lease.begin(now, voterSet.voters.size());
    if (round != 0) {
      request(round, voterSet);
    }
  }

  /** Sends the round, or the giving up of it where it is negative. */
  private void request(long round, VoterSet voterSet) {
    LeaseRequest request = new LeaseRequest();
    request.lease = KEY;
    request.instanceId = who;
    request.durationMs = round > 0 ? LeaseVoter.LEASE_MS : 0;
    request.round = Math.abs(round);
    for (int i = 0; i < voterSet.voters.size(); i++) {
      int voter = i;
      Voter slot = voterSet.voters.get(i);
      caller
          .call(slot.address, request, LeaseResponse.class, ASK_TIMEOUT_MS)
          .thenAccept(
              response -> {
                if (closed || round < 0) {
                  return;
                }
                long now = timers.now();
                if (!response.granted) {
                  lease.refused(round, response.remainingMs);
                } else if (lease.granted(round, voter, now)) {
                  term = 0;
                  won++;
                  takeTerm();
                }
              });
    }
  }

  private void takeTerm() {
    if (taking || closed || !lease.held(timers.now())) {
      return;
    }
    taking = true;
    long inWon = won;
    long[] next = {0};
    register
        .change(
            KEY,
            found -> {
              next[0] = termOf(found.value()) + 1;
              return new Register.ProposedValue(
                  ByteBuffer.allocate(16).putLong(next[0]).putLong(who).array(), List.of());
            },
            List.of(),
            null,
            TERM_TIMEOUT_MS)
        .whenComplete(
            (held, failed) -> {
              taking = false;
              if (failed == null && held.changed() && inWon == won && lease.held(timers.now())) {
                term = next[0];
                LOG.info("holds the singleton lease, term {}", term);
              } else {
                timers.schedule(LOOK_MS, this::takeTerm);
              }
            });
  }

  private static long termOf(byte[] value) {
    return value == null ? 0 : ByteBuffer.wrap(value).getLong();
  }

  /** The term in which this process holds the lease at this very moment, or 0. */
  long term() {
    return lease != null && lease.held(timers.now()) ? term : 0;
  }

  /** Gives the lease up, so that another needn't wait for its end. */
  void close() {
    if (lease != null && !closed) {
      long round = lease.drop();
      if (round != 0) {
        request(round, head.get());
      }
    }
    closed = true;
  }
}
