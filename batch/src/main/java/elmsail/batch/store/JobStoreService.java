package elmsail.batch.store;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.WaitingTokens;
import elmsail.consensus.ReplicaListener;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The batch service of a store process: follows the job records of the process's replica, responds
 * to the messages of gateways and drops jobs whose retention time is over. Confined to the
 * process's event loop.
 */
public final class JobStoreService implements ReplicaListener {
  private static final long EXPIRY_SCAN_INTERVAL_MS = 5_000;
  private static final long EXPIRY_SLACK_MS = 30_000;
  private static final int MAX_ABANDONED = 64;
  private static final byte[] EMPTY = {};

  private final Timers timers;
  private final BooleanSupplier voting;
  private final Consumer<String> dropKey;
  private final long retentionMs;
  private final StoreCounters counters;
  private final JobStore jobs = new JobStore();

  /**
   * Creates the service and registers its counters.
   *
   * @param voting whether this process is a voter with complete state; if not, the service responds
   *     with {@link BatchMessageTypes#NOT_A_VOTER}
   * @param dropKey drops a key and its blobs from the replica; may call {@link #onDropped}
   * @param retentionMs how long a job may be read after it was submitted, in ms
   * @param metrics the metrics of the process
   */
  public JobStoreService(
      Timers timers,
      BooleanSupplier voting,
      Consumer<String> dropKey,
      long retentionMs,
      ProcessMetrics metrics) {
    this.timers = timers;
    this.voting = voting;
    this.dropKey = dropKey;
    this.retentionMs = retentionMs;
    counters = new StoreCounters(metrics.counters());
    metrics.counters().registerGauge("store_batch_jobs_kept", jobs::size);
    metrics.counters().registerGauge("store_batch_absences_kept", jobs::absences);
  }

  /** Starts the periodic scan for expired jobs. */
  public void start() {
    timers.schedule(EXPIRY_SCAN_INTERVAL_MS, this::dropExpiredJobs);
  }

  /**
   * Registers {@link #handle} for all opaque messages. If other services of the process receive
   * opaque messages too, call {@link #handle} from a shared handler instead.
   */
  public void registerHandlers(RequestHandlers handlers) {
    handlers.register(OpaqueMessage.class, this::handle);
  }

  /**
   * Handles a message of a gateway about jobs. The future fails with {@link ErrorCode#MALFORMED} if
   * the message cannot be decoded.
   */
  public CompletionStage<OpaqueMessage> handle(OpaqueMessage request) {
    if (!voting.getAsBoolean()) {
      counters.messagesNotAVoter.add(1);
      return CompletableFuture.completedFuture(
          BatchMessageTypes.message(BatchMessageTypes.NOT_A_VOTER, EMPTY));
    }
    try {
      byte[] response =
          switch (request.kind) {
            case BatchMessageTypes.HEARTBEAT -> onHeartbeat(HeartbeatMessage.decode(request.bytes));
            case BatchMessageTypes.ABANDONED ->
                AbandonedJob.encode(
                    jobs.abandoned(
                        new ByteReader(request.bytes).readVarint(), MAX_ABANDONED, timers.now()));
            case BatchMessageTypes.WITHDRAW ->
                onWithdraw(WaitingTokens.Reservation.decode(request.bytes));
            default ->
                throw new ElmsailException(
                    ErrorCode.MALFORMED, "unknown kind of batch message: " + request.kind);
          };
      counters.messagesAnswered.add(1);
      return CompletableFuture.completedFuture(BatchMessageTypes.message(request.kind, response));
    } catch (ElmsailException malformed) {
      counters.messagesMalformed.add(1);
      return CompletableFuture.failedFuture(malformed);
    }
  }

  @Override
  public byte[] onSideEffect(String key, byte[] sideEffect) {
    if (!JobRecord.isRegisterKey(key) || sideEffect == null || sideEffect.length == 0) {
      return null;
    }
    return jobs.reserve(WaitingTokens.Reservation.decode(sideEffect), timers.now());
  }

  @Override
  public boolean admits(String key, byte[] value) {
    return !JobRecord.isRegisterKey(key)
        || value == null
        || jobs.admits(JobRecord.jobIdOf(key), JobRecord.decode(value), timers.now());
  }

  @Override
  public void onAccepted(String key, byte[] value) {
    if (!JobRecord.isRegisterKey(key)) {
      return;
    }
    String jobId = JobRecord.jobIdOf(key);
    if (value == null) {
      jobs.onAbsenceAccepted(jobId, timers.now());
    } else {
      jobs.onAccepted(jobId, JobRecord.decode(value), timers.now());
    }
  }

  @Override
  public void onPromised(String key) {
    if (JobRecord.isRegisterKey(key)) {
      jobs.onPromised(JobRecord.jobIdOf(key), timers.now());
    }
  }

  @Override
  public void onDropped(String key) {
    if (JobRecord.isRegisterKey(key)) {
      jobs.onDropped(JobRecord.jobIdOf(key));
    }
  }

  /** The number of jobs with an accepted record at this store. */
  public int size() {
    return jobs.size();
  }

  /** The number of jobs whose absence this store has accepted last. */
  public int absences() {
    return jobs.absences();
  }

  private byte[] onHeartbeat(HeartbeatMessage heartbeat) {
    ByteWriter response = new ByteWriter();
    for (int status : jobs.onHeartbeat(heartbeat, timers.now())) {
      response.writeVarint(status);
    }
    return response.toByteArray();
  }

  private byte[] onWithdraw(WaitingTokens.Reservation reservation) {
    jobs.withdraw(reservation, timers.now());
    return EMPTY;
  }

  private void dropExpiredJobs() {
    for (String jobId : jobs.expired(retentionMs, EXPIRY_SLACK_MS, timers.now())) {
      dropKey.accept(JobRecord.registerKey(jobId));
      jobs.onDropped(jobId);
    }
    timers.schedule(EXPIRY_SCAN_INTERVAL_MS, this::dropExpiredJobs);
  }
}
