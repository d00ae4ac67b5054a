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
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The control plane's only lease. Its holder polls the platform for servers, assigns voter slots
 * and performs the platform's singleton duties. A new holder first takes the next term from the
 * register; the term is the epoch of the server lists that the holder publishes. A term belongs to
 * one process and one acquisition of the lease. Use of the term ends permanently when the lease
 * expires, is released, or is fenced because another holder has used a higher term ({@link
 * #onFenced}); the next acquisition takes a higher term. If duties are configured, a process that
 * reacquires the lease after another holder waits until a whole lease time has passed since its own
 * last use ({@link TermReuseDelay}). Runs on the event loop.
 */
final class SingletonLease implements DutyLease {
  /** The register key of the term, and the lease's name on the wire. */
  static final String KEY = "duty";

  private static final Logger LOG = LoggerFactory.getLogger(SingletonLease.class);
  private static final long TICK_INTERVAL_MS = 100;
  private static final long REQUEST_TIMEOUT_MS = 500;
  private static final long TERM_CHANGE_TIMEOUT_MS = 800;

  /** Time for which a process's last call in a term may still take effect after it was sent. */
  private static final long TERM_REUSE_MARGIN_MS = 500;

  private final RpcClient rpcClient;
  private final Timers timers;
  private final Register register;
  private final Supplier<VoterSet> controlPlaneVoters;
  private final String localAddress;
  private final long processId;
  private final TermReuseDelay termReuseDelay;
  private Lease lease;
  private long term;

  /**
   * Incremented when the lease is acquired or fenced, so that a term change started earlier is
   * discarded.
   */
  private long leaseGeneration;

  private boolean termChangeInFlight;
  private boolean closed;

  /** Creates a lease that is not held and sends nothing before {@link #tick()}. */
  SingletonLease(
      NodeEnvironment environment, Register register, Supplier<VoterSet> controlPlaneVoters) {
    this.rpcClient = environment.rpcClient();
    this.timers = environment.timers();
    this.register = register;
    this.controlPlaneVoters = controlPlaneVoters;
    this.localAddress = environment.localAddress();
    this.processId = environment.processId();
    this.termReuseDelay = new TermReuseDelay(termReuseDelayMs(environment.settings()));
  }

  /**
   * Returns 0 without duties: only the platform's duties require a minimum time between a process's
   * uses of the lease.
   */
  private static long termReuseDelayMs(Settings settings) {
    boolean hasDuties = settings.platform() != null && !settings.platform().duties().isEmpty();
    return hasDuties ? settings.bounds().leaseMs() + TERM_REUSE_MARGIN_MS : 0;
  }

  /**
   * Registers the voter's side: {@code leaseVoter} handles lease requests while this node votes.
   */
  static void registerVoteHandler(
      RequestHandlers handlers, Timers timers, LeaseVoter leaseVoter, BooleanSupplier isVoting) {
    handlers.register(
        LeaseRequest.class,
        request -> {
          if (!isVoting.getAsBoolean()) {
            return CompletableFuture.failedFuture(
                new ElmsailException(ErrorCode.NOT_A_VOTER, "not voting on the singleton lease"));
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

  /**
   * Requests or renews the lease if this process holds a voter slot; reschedules itself until
   * closed.
   */
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
      LOG.info("singleton lease expired without renewal");
    }
    lease.poll(now, voterSet.voters.size()).ifPresent(round -> sendRound(round, voterSet));
  }

  private void sendRound(Lease.Round round, VoterSet voterSet) {
    boolean isRequest = round.kind() == Lease.Round.Kind.REQUEST;
    LeaseRequest request = new LeaseRequest();
    request.lease = KEY;
    request.instanceId = processId;
    request.durationMs = isRequest ? LeaseVoter.LEASE_DURATION_MS : 0;
    request.round = round.number();
    for (int i = 0; i < voterSet.voters.size(); i++) {
      int voterIndex = i;
      Voter voter = voterSet.voters.get(i);
      rpcClient
          .call(voter.address, request, LeaseResponse.class, REQUEST_TIMEOUT_MS)
          .thenAccept(
              response -> {
                if (!closed && isRequest) {
                  onResponse(round, voterIndex, response);
                }
              });
    }
  }

  private void onResponse(Lease.Round round, int voterIndex, LeaseResponse response) {
    if (!response.granted) {
      lease.onRefused(round.number(), response.remainingMs);
    } else if (lease.onGranted(round.number(), voterIndex, timers.now())) {
      term = 0;
      leaseGeneration++;
      acquireTerm();
    }
  }

  private void acquireTerm() {
    if (termChangeInFlight || closed || !lease.isHeld(timers.now())) {
      return;
    }
    termChangeInFlight = true;
    long startGeneration = leaseGeneration;
    TermChange change = new TermChange(processId);
    register
        .change(KEY, change::propose, List.of(), null, TERM_CHANGE_TIMEOUT_MS)
        .whenComplete(
            (outcome, failure) -> {
              termChangeInFlight = false;
              if (failure == null
                  && outcome.changed()
                  && startGeneration == leaseGeneration
                  && lease.isHeld(timers.now())) {
                termReuseDelay.onAcquired(change.term);
                term = change.term;
                LOG.info("acquired the singleton lease, term {}", term);
              } else {
                timers.schedule(TICK_INTERVAL_MS, this::acquireTerm);
              }
            });
  }

  /** One attempt to take the next term; {@code term} is that of the last proposal. */
  private static final class TermChange {
    private final long processId;
    private long term;

    TermChange(long processId) {
      this.processId = processId;
    }

    Register.ProposedValue propose(Register.ObservedState observed) {
      term = decodeTerm(observed.value()) + 1;
      byte[] value = ByteBuffer.allocate(2 * Long.BYTES).putLong(term).putLong(processId).array();
      return new Register.ProposedValue(value, List.of());
    }

    private static long decodeTerm(byte[] value) {
      return value == null ? 0 : ByteBuffer.wrap(value).getLong();
    }
  }

  @Override
  public long term() {
    long now = timers.now();
    if (term == 0 || lease == null || !lease.isHeld(now) || !termReuseDelay.isUsable(now)) {
      return 0;
    }
    termReuseDelay.onUsed(now);
    return term;
  }

  /**
   * Handles the rejection of a call under that term, because another holder has used a higher term.
   * The term is a fencing token: this process does not use it again, even if voters still grant the
   * lease. The lease is released, and not requested again for one lease duration, so that two
   * holders do not alternate. The rejection of a term other than the current one is ignored.
   */
  @Override
  public void onFenced(long refusedTerm) {
    if (closed || lease == null || term == 0 || refusedTerm != term) {
      return;
    }
    LOG.warn("releasing the singleton lease: another holder has used a higher term than {}", term);
    term = 0;
    leaseGeneration++;
    lease
        .releaseAndPause(timers.now())
        .ifPresent(round -> sendRound(round, controlPlaneVoters.get()));
  }

  /** Releases the lease, so that another process does not have to wait for its expiry. */
  void close() {
    if (lease != null && !closed) {
      lease.relinquish().ifPresent(round -> sendRound(round, controlPlaneVoters.get()));
    }
    closed = true;
  }
}
