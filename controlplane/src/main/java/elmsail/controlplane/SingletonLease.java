package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
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
  private static final long TICK_INTERVAL_MS = 100;
  private static final long REQUEST_TIMEOUT_MS = 500;
  private static final long TERM_CHANGE_TIMEOUT_MS = 800;

  private final RpcClient caller;
  private final Timers timers;
  private final Register register;
  private final Supplier<VoterSet> controlPlaneVoters;
  private final String localAddress;
  private final long processId;
  private Lease lease;
  private long term;

  /** Counts the times that the lease was won: a term belongs to one of them. */
  private long acquisitions;

  private boolean termChangeInFlight;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param processId drawn anew at each start
   */
  SingletonLease(
      RpcClient caller,
      Timers timers,
      Register register,
      Supplier<VoterSet> controlPlaneVoters,
      String localAddress,
      long processId) {
    this.caller = caller;
    this.timers = timers;
    this.register = register;
    this.controlPlaneVoters = controlPlaneVoters;
    this.localAddress = localAddress;
    this.processId = processId;
  }

  /** Answers the requests for the lease, while this process votes. */
  static void registerVoteHandler(
      RequestHandlers handlers, Timers timers, LeaseVoter leaseVoter, BooleanSupplier isVoting) {
    handlers.register(
        LeaseRequest.class,
        request -> {
          if (!isVoting.getAsBoolean()) {
            return CompletableFuture.failedFuture(
                new ElmsailException(ErrorCode.NOT_A_VOTER, "no vote"));
          }
          LeaseResponse response = new LeaseResponse();
          if (request.durationMs <= 0) {
            leaseVoter.release(request.instanceId, request.round, timers.now());
          } else {
            response.remainingMs =
                leaseVoter.tryGrant(request.instanceId, request.round, timers.now());
            response.granted = response.remainingMs == 0;
          }
          return CompletableFuture.completedFuture(response);
        });
  }

  void tick() {
    if (closed) {
      return;
    }
    timers.schedule(TICK_INTERVAL_MS, this::tick);
    VoterSet voterSet = controlPlaneVoters.get();
    int rank = VoterSetValue.slotOf(voterSet, localAddress);
    if (rank < 0) {
      return;
    }
    long now = timers.now();
    if (lease == null) {
      lease = new Lease(now, rank);
    }
    if (term > 0 && !lease.isHeld(now)) {
      term = 0;
      LOG.info("the singleton lease is lost");
    }
    long round = lease.poll(now, voterSet.voters.size());
    if (round != 0) {
      sendRound(round, voterSet);
    }
  }

  /** Sends the round, or the giving up of it where it is negative. */
  private void sendRound(long round, VoterSet voterSet) {
    LeaseRequest request = new LeaseRequest();
    request.lease = KEY;
    request.instanceId = processId;
    request.durationMs = round > 0 ? LeaseVoter.LEASE_DURATION_MS : 0;
    request.round = Math.abs(round);
    for (int i = 0; i < voterSet.voters.size(); i++) {
      int voterIndex = i;
      Voter voter = voterSet.voters.get(i);
      caller
          .call(voter.address, request, LeaseResponse.class, REQUEST_TIMEOUT_MS)
          .thenAccept(
              response -> {
                if (closed || round < 0) {
                  return;
                }
                long now = timers.now();
                if (!response.granted) {
                  lease.onRefused(round, response.remainingMs);
                } else if (lease.onGranted(round, voterIndex, now)) {
                  term = 0;
                  acquisitions++;
                  acquireTerm();
                }
              });
    }
  }

  private void acquireTerm() {
    if (termChangeInFlight || closed || !lease.isHeld(timers.now())) {
      return;
    }
    termChangeInFlight = true;
    long acquisition = acquisitions;
    long[] nextTerm = {0};
    register
        .change(
            KEY,
            found -> {
              nextTerm[0] = decodeTerm(found.value()) + 1;
              return new Register.ProposedValue(
                  ByteBuffer.allocate(16).putLong(nextTerm[0]).putLong(processId).array(),
                  List.of());
            },
            List.of(),
            null,
            TERM_CHANGE_TIMEOUT_MS)
        .whenComplete(
            (outcome, failure) -> {
              termChangeInFlight = false;
              if (failure == null
                  && outcome.changed()
                  && acquisition == acquisitions
                  && lease.isHeld(timers.now())) {
                term = nextTerm[0];
                LOG.info("holds the singleton lease, term {}", term);
              } else {
                timers.schedule(TICK_INTERVAL_MS, this::acquireTerm);
              }
            });
  }

  private static long decodeTerm(byte[] value) {
    return value == null ? 0 : ByteBuffer.wrap(value).getLong();
  }

  /** The term in which this process holds the lease at this very moment, or 0. */
  long term() {
    return lease != null && lease.isHeld(timers.now()) ? term : 0;
  }

  /** Gives the lease up, so that another needn't wait for its end. */
  void close() {
    if (lease != null && !closed) {
      long round = lease.relinquish();
      if (round != 0) {
        sendRound(round, controlPlaneVoters.get());
      }
    }
    closed = true;
  }
}
