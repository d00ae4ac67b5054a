package elmsail.batch.store;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.TokenCount;
import elmsail.consensus.ReplicaListener;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Invariants;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The views of a process that keeps jobs: the count of waiting tokens, and when each open job's
 * runner was heard last. On the loop.
 */
public final class JobRetention implements ReplicaListener {
  private static final String PREFIX = "lot/";
  private static final long LOOK_MS = 5_000;
  private static final long DROP_SLACK_MS = 30_000;
  private static final int MOST_ABANDONED = 64;
  private static final byte[] NOTHING = {};

  private final Timers timers;
  private final BooleanSupplier voting;
  private final Consumer<String> drop;
  private final long statusMs;
  private final StoreCounters counters;
  private final Invariants invariants;
  private final JobStore jobs = new JobStore();

  /**
   * @param voting whether this process holds a voter slot and has its memory; else it answers
   *     NOT_SEATED
   * @param drop drops a key and its blobs here ({@code Replica.drop}); may call {@code dropped}
   * @param statusMs for how long a job may be read after it was sent
   * @param metrics the process's figures and invariants
   */
  public JobRetention(
      Timers timers,
      BooleanSupplier voting,
      Consumer<String> drop,
      long statusMs,
      ProcessMetrics metrics) {
    this.timers = timers;
    this.voting = voting;
    this.drop = drop;
    this.statusMs = statusMs;
    counters = new StoreCounters(metrics.counters());
    metrics.counters().registerGauge("store_batch_jobs_kept", jobs::size);
    invariants = metrics.invariants();
  }

  /** Starts the looking for jobs to drop. */
  public void start() {
    timers.schedule(LOOK_MS, this::look);
  }

  /**
   * Answers the messages about jobs; use this, or {@code answer} from a handler shared with others.
   */
  public void listen(RequestHandlers answering) {
    answering.register(OpaqueMessage.class, this::answer);
  }

  /** Answers a batch message of a gateway; NOT_SEATED while this replica has no vote. */
  public CompletionStage<OpaqueMessage> answer(OpaqueMessage request) {
    if (!voting.getAsBoolean()) {
      counters.messagesNotSeated.add(1);
      return CompletableFuture.completedFuture(
          BatchMessageTypes.message(BatchMessageTypes.NOT_SEATED, NOTHING));
    }
    try {
      byte[] response =
          switch (request.kind) {
            case BatchMessageTypes.HEARTBEAT -> heartbeat(HeartbeatMessage.unpacked(request.bytes));
            case BatchMessageTypes.ABANDONED ->
                AbandonedJob.packed(
                    jobs.abandoned(
                        new ByteReader(request.bytes).number(), MOST_ABANDONED, timers.now()));
            case BatchMessageTypes.WITHDRAW -> withdraw(TokenCount.Add.unpacked(request.bytes));
            default ->
                throw new ElmsailException(ErrorCode.MALFORMED, "a message of kind " + request.kind);
          };
      counters.messagesAnswered.add(1);
      return CompletableFuture.completedFuture(BatchMessageTypes.message(request.kind, response));
    } catch (ElmsailException garbled) {
      counters.messagesGarbled.add(1);
      return CompletableFuture.failedFuture(garbled);
    }
  }

  @Override
  public byte[] onSideEffect(String key, byte[] note) {
    if (!key.startsWith(PREFIX) || note == null || note.length == 0) {
      return null;
    }
    return jobs.added(TokenCount.Add.unpacked(note), timers.now());
  }

  @Override
  public boolean admits(String key, byte[] value) {
    return !key.startsWith(PREFIX)
        || jobs.admits(key.substring(PREFIX.length()), JobRecord.unpacked(value), timers.now());
  }

  @Override
  public void onAccepted(String key, byte[] value) {
    if (key.startsWith(PREFIX) && value != null) {
      jobs.taken(key.substring(PREFIX.length()), JobRecord.unpacked(value), timers.now());
    }
  }

  @Override
  public void onPromised(String key) {
    if (key.startsWith(PREFIX)) {
      jobs.promised(key.substring(PREFIX.length()), timers.now());
    }
  }

  @Override
  public void onDropped(String key) {
    if (key.startsWith(PREFIX)) {
      jobs.onDropped(key.substring(PREFIX.length()));
    }
  }

  /** How many jobs this process keeps. */
  public int size() {
    return jobs.size();
  }

  private byte[] heartbeat(HeartbeatMessage heartbeat) {
    ByteWriter response = new ByteWriter();
    for (int one : jobs.answer(heartbeat, timers.now())) {
      response.number(one);
    }
    return response.packed();
  }

  private byte[] withdraw(TokenCount.Add add) {
    jobs.withdrawn(add, timers.now());
    return NOTHING;
  }

  private void look() {
    for (String job : jobs.outlived(statusMs, DROP_SLACK_MS, timers.now())) {
      drop.accept(PREFIX + job);
      jobs.onDropped(job);
    }
    timers.schedule(LOOK_MS, this::look);
  }
}
