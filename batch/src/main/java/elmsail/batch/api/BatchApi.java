package elmsail.batch.api;

import elmsail.batch.BatchItem;
import elmsail.batch.BatchService;
import elmsail.batch.BatchSettings;
import elmsail.batch.ItemServers;
import elmsail.batch.TenantName;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.client.BatchMetrics;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
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
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * The batch service of one gateway. Validates and dispatches client requests and runs the jobs
 * whose lease this gateway holds. Confined to the gateway's event loop.
 */
public final class BatchApi implements BatchService {
  private static final long MAX_SUBMIT_MS = 3_000;
  private static final long MAX_READ_WAIT_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 1_500;
  private static final int MAX_JOB_ID_LENGTH = 200;

  /** Limit on the total size of the encoded bodies of all submissions in flight. */
  private static final long MAX_PENDING_SUBMIT_BYTES = 24L << 20;

  private static final int MAX_PENDING_READS = 2_000;

  private final BatchContext context;
  private final BatchReplies replies;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final FailoverMonitor failoverMonitor;
  private final CancelHandler cancelHandler;
  private final Map<String, List<ReadHandler>> pendingReads = new HashMap<>();
  private int pendingReadCount;
  private long pendingSubmitBytes;

  /**
   * Creates a service that runs no jobs until {@link #setServers} and {@link #start} are called.
   *
   * @param register the register replicated by the voter set of the job stores
   * @param metrics the metrics of the process
   */
  public BatchApi(
      Register register,
      RpcClient rpcClient,
      Timers timers,
      ClusterState clusterState,
      BatchSettings settings,
      ProcessMetrics metrics) {
    Random random = new Random(settings.seed());
    BatchMetrics batchMetrics = BatchMetrics.of(metrics);
    context =
        new BatchContext(register, rpcClient, timers, clusterState, settings, random, batchMetrics);
    replies = new BatchReplies(random);
    jobClient = new BatchJobClient(register, metrics.invariants());
    runner = new JobRunner(context, jobClient, this::onJobChanged);
    failoverMonitor = new FailoverMonitor(context, jobClient, runner);
    cancelHandler = new CancelHandler(context, jobClient, replies, this::onCancelled);
  }

  /** Sets the servers that items are sent to. No item is started before this call. */
  public void setServers(ItemServers servers) {
    runner.setServers(servers);
  }

  /** Starts the heartbeats to the stores and the scans for abandoned jobs. */
  public void start() {
    failoverMonitor.start();
  }

  /**
   * Registers {@link #handle} for all opaque messages. If other services of the process receive
   * opaque messages too, call {@link #handle} from a shared handler instead.
   */
  public void registerHandlers(RequestHandlers handlers) {
    handlers.register(OpaqueMessage.class, this::handle);
  }

  /**
   * Handles another gateway's notification that a job was cancelled. The future fails with {@link
   * ErrorCode#MALFORMED} for a message of any other kind.
   */
  public CompletionStage<OpaqueMessage> handle(OpaqueMessage request) {
    if (!request.kind.equals(BatchMessageTypes.CANCELLED)) {
      return CompletableFuture.failedFuture(
          new ElmsailException(
              ErrorCode.MALFORMED, "unknown kind of batch message: " + request.kind));
    }
    onCancelled(new ByteReader(request.bytes).readString());
    return CompletableFuture.completedFuture(
        BatchMessageTypes.message(BatchMessageTypes.CANCELLED, BatchReplies.EMPTY_BODY));
  }

  /** The number of items of this gateway's jobs that wait for capacity, per service. */
  public Map<String, Integer> waitingItems() {
    return runner.waitingItems();
  }

  /** The number of jobs that this gateway runs. */
  public int runningJobs() {
    return runner.size();
  }

  @Override
  public CompletableFuture<Reply> submit(
      TenantName tenant, Route route, String jobId, byte[] body, long deadlineMs) {
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
      Optional<Route> itemRoute = config.match(route.host(), item.path());
      if (itemRoute.isEmpty()) {
        return replyForExistingJob(tenant, jobId, BatchReplies.BAD_REQUEST);
      }
      if (config.requiresKeys() && tenant.isNone() && !itemRoute.get().isOpen()) {
        return replyForExistingJob(tenant, jobId, BatchReplies.UNAUTHORIZED);
      }
    }
    return submit(new Submission(tenant, jobId, route, items, Math.min(deadlineMs, MAX_SUBMIT_MS)));
  }

  private CompletableFuture<Reply> submit(Submission submission) {
    SubmitHandler handler = new SubmitHandler(context, jobClient, runner, replies, submission);
    int submitBytes = handler.bodyBytes();
    pendingSubmitBytes += submitBytes;
    return handler.start().whenComplete((reply, failure) -> pendingSubmitBytes -= submitBytes);
  }

  /**
   * Replies according to the job's record if there is one, and otherwise with the fallback. A job
   * that was accepted before remains accepted even if the routes of its items have been removed.
   */
  private CompletableFuture<Reply> replyForExistingJob(
      TenantName tenant, String jobId, Reply fallback) {
    JobAccess access = new JobAccess(context, tenant);
    return jobClient
        .read(jobId, CALL_TIMEOUT_MS)
        .thenApply(
            record -> {
              if (record == null) {
                return fallback;
              }
              return access.permits(record) ? BatchReplies.ACCEPTED : BatchReplies.CONFLICT;
            })
        .exceptionally(failure -> replies.unavailable());
  }

  @Override
  public CompletableFuture<Reply> readResults(
      TenantName tenant, String jobId, long after, long waitMs) {
    if (!isValidJobId(jobId)) {
      return CompletableFuture.completedFuture(BatchReplies.NOT_FOUND);
    }
    if (pendingReadCount >= MAX_PENDING_READS) {
      return CompletableFuture.completedFuture(replies.unavailable());
    }
    long boundedWaitMs = Math.max(0, Math.min(waitMs, MAX_READ_WAIT_MS));
    ReadHandler handler =
        new ReadHandler(
            context,
            jobClient,
            replies,
            new JobAccess(context, tenant),
            jobId,
            Math.max(0, after),
            boundedWaitMs);
    pendingReads.computeIfAbsent(jobId, id -> new ArrayList<>()).add(handler);
    pendingReadCount++;
    return handler.start().whenComplete((reply, failure) -> removePendingRead(jobId, handler));
  }

  private void removePendingRead(String jobId, ReadHandler handler) {
    pendingReadCount--;
    List<ReadHandler> readsOfJob = pendingReads.get(jobId);
    readsOfJob.remove(handler);
    if (readsOfJob.isEmpty()) {
      pendingReads.remove(jobId);
    }
  }

  @Override
  public CompletableFuture<Reply> readItemBody(TenantName tenant, String jobId, String itemId) {
    if (!isValidJobId(jobId) || itemId == null) {
      return CompletableFuture.completedFuture(BatchReplies.NOT_FOUND);
    }
    JobAccess access = new JobAccess(context, tenant);
    return jobClient
        .read(jobId, CALL_TIMEOUT_MS)
        .thenCompose(
            record ->
                record == null || !access.permits(record)
                    ? CompletableFuture.completedFuture(BatchReplies.NOT_FOUND)
                    : jobClient
                        .readItems(jobId, record, CALL_TIMEOUT_MS)
                        .thenApply(items -> itemBody(items, itemId)))
        .exceptionally(failure -> replies.unavailable());
  }

  private static Reply itemBody(List<BatchItem> items, String itemId) {
    for (BatchItem item : items) {
      if (item.id().equals(itemId)) {
        return new Reply(BatchReplies.OK.status(), item.body(), 0);
      }
    }
    return BatchReplies.NOT_FOUND;
  }

  @Override
  public CompletableFuture<Reply> cancel(TenantName tenant, String jobId) {
    return isValidJobId(jobId)
        ? cancelHandler.cancel(new JobAccess(context, tenant), jobId)
        : CompletableFuture.completedFuture(BatchReplies.NOT_FOUND);
  }

  private void onCancelled(String jobId) {
    runner.stop(jobId);
    onJobChanged(jobId);
  }

  private void onJobChanged(String jobId) {
    List<ReadHandler> readsOfJob = pendingReads.get(jobId);
    if (readsOfJob != null) {
      for (ReadHandler handler : List.copyOf(readsOfJob)) {
        handler.onJobChanged();
      }
    }
  }

  /** Whether the id consists of 1 to 200 printable ASCII characters except space and slash. */
  private static boolean isValidJobId(String jobId) {
    if (jobId == null || jobId.isEmpty() || jobId.length() > MAX_JOB_ID_LENGTH) {
      return false;
    }
    for (int i = 0; i < jobId.length(); i++) {
      char character = jobId.charAt(i);
      if (character <= ' ' || character > '~' || character == '/') {
        return false;
      }
    }
    return true;
  }
}
