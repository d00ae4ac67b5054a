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
 * The control plane's only lease: its holder polls the platform for servers and assigns voter
 * slots. A new holder first takes the next term from the register; the epochs of the server lists
 * that it publishes are these terms. A term is used by one process, under one acquisition of the
 * lease, until the lease ends, is given up, or a higher term is seen ({@link #onFenced}); each of
 * these ends its use for good, as the next acquisition takes a higher one. A process that gets the
 * lease back after another had it waits until a whole lease has passed since its own last use. Runs
 * on the event loop.
 */
final class SingletonLease implements DutyLease {
  /** The register's key of the term, and the lease's name on the wire. */
  static final String KEY = "duty";

  private static final Logger LOG = LoggerFactory.getLogger(SingletonLease.class);
  private static final long TICK_INTERVAL_MS = 100;
  private static final long REQUEST_TIMEOUT_MS = 500;
  private static final long TERM_CHANGE_TIMEOUT_MS = 800;

  /** What a process did last in a term may take effect so much later. */
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

  /** How many times the lease was acquired; a term belongs to one of them. */
  private long acquisitions;

  private boolean termChangeInFlight;
  private boolean closed;

  /** Creates one that is not held, and sends nothing before {@link #tick()}. */
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

  /** Only the platform's duties are bound by the time between two holders' uses. */
  private static long termReuseDelayMs(Settings settings) {
    boolean hasDuties = settings.platform() != null && !settings.platform().duties().isEmpty();
    return hasDuties ? settings.bounds().leaseMs() + TERM_REUSE_MARGIN_MS : 0;
  }

  /** Registers the voter's side: requests are granted by {@code leaseVoter} while it may vote. */
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

  /** Requests or renews the lease where this process holds a slot; repeats itself until closed. */
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
      acquisitions++;
      acquireTerm();
    }
  }

  private void acquireTerm() {
    if (termChangeInFlight || closed || !lease.isHeld(timers.now())) {
      return;
    }
    termChangeInFlight = true;
    long acquisition = acquisitions;
    TermChange change = new TermChange(processId);
    register
        .change(KEY, change::propose, List.of(), null, TERM_CHANGE_TIMEOUT_MS)
        .whenComplete(
            (outcome, failure) -> {
              termChangeInFlight = false;
              if (failure == null
                  && outcome.changed()
                  && acquisition == acquisitions
                  && lease.isHeld(timers.now())) {
                termReuseDelay.onAcquired(change.term);
                term = change.term;
                LOG.info("holds the singleton lease, term {}", term);
              } else {
                timers.schedule(TICK_INTERVAL_MS, this::acquireTerm);
              }
            });
  }

  /** One attempt to take the next term; the last proposal is the one that counts. */
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
   * Somebody refused what this process did under that term, since another holder has used a higher
   * one. The term is a fencing token: it is not used again, whoever still grants this lease, and
   * the lease is given up for as long as one lasts, so that two holders do not act by turns. A
   * refusal of an earlier term than the present one says nothing new.
   */
  @Override
  public void onFenced(long refusedTerm) {
    if (closed || lease == null || term == 0 || refusedTerm != term) {
      return;
    }
    LOG.warn(
        "another holder has used a higher term than {}: the singleton lease is given up", term);
    term = 0;
    acquisitions++;
    lease
        .releaseAndPause(timers.now())
        .ifPresent(round -> sendRound(round, controlPlaneVoters.get()));
  }

  /** Releases the lease, so that another process needn't wait for its end. */
  void close() {
    if (lease != null && !closed) {
      lease.relinquish().ifPresent(round -> sendRound(round, controlPlaneVoters.get()));
    }
    closed = true;
  }
}
