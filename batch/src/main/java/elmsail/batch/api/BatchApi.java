package elmsail.batch.api;

import elmsail.batch.BatchItem;
import elmsail.batch.BatchService;
import elmsail.batch.ItemServers;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchCounters;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.JobRequestParser;
import elmsail.batch.run.FailoverMonitor;
import elmsail.batch.run.JobRunner;
import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.consensus.Register;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * The calls about jobs at one gateway, and the running of those that are this gateway's. All on the
 * loop.
 */
public final class BatchApi implements BatchService {
  private static final long MAX_SUBMIT_MS = 3_000;
  private static final long MAX_READ_WAIT_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 1_500;
  private static final int MAX_JOB_ID_LENGTH = 200;

  /** Bytes of bodies that are being handed in, and calls held, at most. */
  private static final long MAX_PENDING_SUBMIT_BYTES = 24L << 20;

  private static final int MAX_PENDING_READS = 2_000;

  private final BatchContext context;
  private final BatchReplies replies;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final FailoverMonitor failoverMonitor;
  private final Map<String, List<ReadHandler>> pendingReads = new HashMap<>();
  private int pendingReadCount;
  private long pendingSubmitBytes;

  /**
   * @param register of the set "shelf"
   * @param localAddress this gateway's own, as it stands in the roster
   * @param cancelMs the bound {@code cancel_ms}
   * @param metrics the process's figures and invariants
   */
  public BatchApi(
      Register register,
      RpcClient caller,
      Timers timers,
      ClusterState clusterState,
      String localAddress,
      long seed,
      long cancelMs,
      ProcessMetrics metrics) {
    Random random = new Random(seed);
    context =
        new BatchContext(
            register,
            caller,
            timers,
            clusterState,
            localAddress,
            random,
            cancelMs,
            new BatchCounters(metrics.counters()),
            metrics.invariants());
    replies = new BatchReplies(random);
    jobClient = new BatchJobClient(register, metrics.invariants());
    runner = new JobRunner(context, jobClient, this::onJobChanged);
    failoverMonitor = new FailoverMonitor(context, jobClient, runner);
  }

  /** Before it nothing runs. */
  public void setServers(ItemServers servers) {
    runner.setServers(servers);
  }

  /** Starts the heartbeats to the stores and the looking for jobs that nobody runs. */
  public void start() {
    failoverMonitor.start();
  }

  /**
   * Answers the messages about jobs; use this, or {@code answer} from a handler shared with others.
   */
  public void registerHandlers(RequestHandlers handlers) {
    handlers.register(OpaqueMessage.class, this::handle);
  }

  /**
   * Answers a message of another gateway: that a job was ended. Fails with GARBLED for any other
   * kind.
   */
  public CompletionStage<OpaqueMessage> handle(OpaqueMessage request) {
    if (!request.kind.equals(BatchMessageTypes.CANCELLED)) {
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.MALFORMED, "a message of kind " + request.kind));
    }
    onCancelled(new ByteReader(request.bytes).readString());
    return CompletableFuture.completedFuture(
        BatchMessageTypes.message(BatchMessageTypes.CANCELLED, BatchReplies.EMPTY_BODY));
  }

  /** How many jobs this gateway runs. */
  public int runningJobs() {
    return runner.size();
  }

  @Override
  public CompletableFuture<Reply> submit(Route route, String jobId, byte[] body, long deadlineMs) {
    RoutingConfig config = context.clusterState().config();
    if (config == null || pendingSubmitBytes + body.length > MAX_PENDING_SUBMIT_BYTES) {
      return CompletableFuture.completedFuture(replies.unavailable());
    }
    if (!isValidJobId(jobId)) {
      return CompletableFuture.completedFuture(BatchReplies.BAD_REQUEST);
    }
    List<BatchItem> items;
    try {
      items = JobRequestParser.parse(body);
    } catch (ElmsailException malformed) {
      return CompletableFuture.completedFuture(BatchReplies.BAD_REQUEST);
    }
    for (BatchItem item : items) {
      if (config.match(route.host(), item.path()) == null) {
        return acceptedOrElse(jobId, BatchReplies.BAD_REQUEST);
      }
    }
    SubmitHandler handler =
        new SubmitHandler(
            context,
            jobClient,
            runner,
            replies,
            jobId,
            route,
            items,
            Math.min(deadlineMs, MAX_SUBMIT_MS));
    int held = handler.bodyBytes();
    pendingSubmitBytes += held;
    return handler.start().whenComplete((reply, failure) -> pendingSubmitBytes -= held);
  }

  /** A job that was taken stays taken, whatever the routes of its items have become since. */
  private CompletableFuture<Reply> acceptedOrElse(String jobId, Reply fallback) {
    return jobClient
        .read(jobId, CALL_TIMEOUT_MS)
        .thenApply(record -> record == null ? fallback : BatchReplies.ACCEPTED)
        .exceptionally(failure -> replies.unavailable());
  }

  @Override
  public CompletableFuture<Reply> readResults(String jobId, long after, long waitMs) {
    if (!isValidJobId(jobId)) {
      return CompletableFuture.completedFuture(BatchReplies.NOT_FOUND);
    }
    if (pendingReadCount >= MAX_PENDING_READS) {
      return CompletableFuture.completedFuture(replies.unavailable());
    }
    ReadHandler handler =
        new ReadHandler(
            context,
            jobClient,
            replies,
            jobId,
            Math.max(0, after),
            Math.max(0, Math.min(waitMs, MAX_READ_WAIT_MS)));
    pendingReads.computeIfAbsent(jobId, id -> new ArrayList<>()).add(handler);
    pendingReadCount++;
    return handler
        .start()
        .whenComplete(
            (reply, failure) -> {
              pendingReadCount--;
              List<ReadHandler> readsOfJob = pendingReads.get(jobId);
              readsOfJob.remove(handler);
              if (readsOfJob.isEmpty()) {
                pendingReads.remove(jobId);
              }
            });
  }

  @Override
  public CompletableFuture<Reply> readItemBody(String jobId, String itemId) {
    if (!isValidJobId(jobId) || itemId == null) {
      return CompletableFuture.completedFuture(BatchReplies.NOT_FOUND);
    }
    return jobClient
        .read(jobId, CALL_TIMEOUT_MS)
        .thenCompose(
            record -> {
              if (record == null) {
                return CompletableFuture.completedFuture(BatchReplies.NOT_FOUND);
              }
              return jobClient
                  .readItems(jobId, record, CALL_TIMEOUT_MS)
                  .thenApply(
                      items -> {
                        for (BatchItem item : items) {
                          if (item.id().equals(itemId)) {
                            return new Reply(200, item.body(), 0);
                          }
                        }
                        return BatchReplies.NOT_FOUND;
                      });
            })
        .exceptionally(failure -> replies.unavailable());
  }

  @Override
  public CompletableFuture<Reply> cancel(String jobId) {
    if (!isValidJobId(jobId)) {
      return CompletableFuture.completedFuture(BatchReplies.NOT_FOUND);
    }
    return cancel(jobId, 2)
        .exceptionally(
            failure ->
                BatchReplies.mayHaveTakenEffect(failure)
                    ? BatchReplies.OUTCOME_UNKNOWN
                    : replies.unavailable());
  }

  private CompletableFuture<Reply> cancel(String jobId, int attemptsLeft) {
    CompletableFuture<Reply> replyFuture = new CompletableFuture<>();
    context
        .register()
        .change(
            JobRecord.registerKey(jobId),
            found -> {
              JobRecord record = JobRecord.decodeNullable(found.value());
              return new Register.ProposedValue(
                  record == null || record.cancelled() ? null : record.withCancellation().encode(),
                  List.of());
            },
            List.of(),
            null,
            CALL_TIMEOUT_MS)
        .whenComplete(
            (result, failure) -> {
              if (failure == null) {
                replyFuture.complete(onCancelled(jobId, result));
              } else if (attemptsLeft > 1) {
                cancel(jobId, attemptsLeft - 1)
                    .whenComplete(
                        (retried, retryFailure) -> {
                          if (retryFailure == null) {
                            replyFuture.complete(retried);
                          } else {
                            replyFuture.completeExceptionally(
                                BatchReplies.mayHaveTakenEffect(failure) ? failure : retryFailure);
                          }
                        });
              } else {
                replyFuture.completeExceptionally(failure);
              }
            });
    return replyFuture;
  }

  private Reply onCancelled(String jobId, Register.CommittedState result) {
    JobRecord record = jobClient.onCommitted(jobId, result.current());
    if (record == null) {
      return BatchReplies.NOT_FOUND;
    }
    onCancelled(jobId);
    if (!record.runner().equals(context.localAddress())) {
      context
          .caller()
          .call(
              record.runner(),
              BatchMessageTypes.message(
                  BatchMessageTypes.CANCELLED, new ByteWriter().writeString(jobId).toByteArray()),
              OpaqueMessage.class,
              CALL_TIMEOUT_MS);
    }
    return BatchReplies.OK;
  }

  private void onCancelled(String jobId) {
    runner.stop(jobId);
    onJobChanged(jobId);
  }

  private void onJobChanged(String jobId) {
    List<ReadHandler> readsOfJob = pendingReads.get(jobId);
    if (readsOfJob != null) {
      for (ReadHandler handler : List.copyOf(readsOfJob)) {
        handler.wake();
      }
    }
  }

  private static boolean isValidJobId(String jobId) {
    if (jobId == null || jobId.isEmpty() || jobId.length() > MAX_JOB_ID_LENGTH) {
      return false;
    }
    for (int i = 0; i < jobId.length(); i++) {
      char c = jobId.charAt(i);
      if (c <= ' ' || c > '~' || c == '/') {
        return false;
      }
    }
    return true;
  }
}
