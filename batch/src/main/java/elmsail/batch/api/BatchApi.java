package elmsail.batch.api;

import elmsail.batch.BatchCalls;
import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchCounters;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.JobRequestReader;
import elmsail.batch.run.FailoverMonitor;
import elmsail.batch.run.JobRunner;
import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.consensus.Register;
import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
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
public final class BatchApi implements BatchCalls {
  private static final long MOST_SUBMIT_MS = 3_000;
  private static final long MOST_WAIT_MS = 1_000;
  private static final long CALL_MS = 1_500;
  private static final int MOST_ID = 200;

  /** Bytes of bodies that are being handed in, and calls held, at most. */
  private static final long MOST_BYTES = 24L << 20;

  private static final int MOST_READS = 2_000;

  private final BatchContext context;
  private final Replies replies;
  private final BatchJobClient store;
  private final JobRunner runner;
  private final FailoverMonitor watch;
  private final Map<String, List<ReadHandler>> reads = new HashMap<>();
  private int held;
  private long bytes;

  /**
   * @param register of the set "shelf"
   * @param innerAddress this gateway's own, as it stands in the roster
   * @param cancelMs the bound {@code cancel_ms}
   * @param metrics the process's figures and invariants
   */
  public BatchApi(
      Register register,
      RpcClient caller,
      Timers timers,
      ClusterState known,
      String innerAddress,
      long seed,
      long cancelMs,
      ProcessMetrics metrics) {
    Random chance = new Random(seed);
    context =
        new BatchContext(
            register,
            caller,
            timers,
            known,
            innerAddress,
            chance,
            cancelMs,
            new BatchCounters(metrics.counters()),
            metrics.invariants());
    replies = new Replies(chance);
    store = new BatchJobClient(register, metrics.invariants());
    runner = new JobRunner(context, store, this::changed);
    watch = new FailoverMonitor(context, store, runner);
  }

  /** Before it nothing runs. */
  public void setServers(ItemServers servers) {
    runner.setServers(servers);
  }

  /** Starts the heartbeats to the stores and the looking for jobs that nobody runs. */
  public void start() {
    watch.start();
  }

  /**
   * Answers the messages about jobs; use this, or {@code answer} from a handler shared with others.
   */
  public void listen(RequestHandlers answering) {
    answering.register(OpaqueMessage.class, this::answer);
  }

  /**
   * Answers a message of another gateway: that a job was ended. Fails with GARBLED for any other
   * kind.
   */
  public CompletionStage<OpaqueMessage> answer(OpaqueMessage request) {
    if (!request.kind.equals(BatchMessageTypes.ENDED)) {
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.MALFORMED, "a message of kind " + request.kind));
    }
    ended(new ByteReader(request.bytes).text());
    return CompletableFuture.completedFuture(
        BatchMessageTypes.message(BatchMessageTypes.ENDED, Replies.EMPTY));
  }

  /** How many jobs this gateway runs. */
  public int running() {
    return runner.size();
  }

  @Override
  public CompletableFuture<Reply> submit(Route route, String jobId, byte[] body, long deadlineMs) {
    RoutingConfig config = context.known().config();
    if (config == null || bytes + body.length > MOST_BYTES) {
      return CompletableFuture.completedFuture(replies.unable());
    }
    if (!proper(jobId)) {
      return CompletableFuture.completedFuture(Replies.MALFORMED);
    }
    List<BatchItem> batchItems;
    try {
      batchItems = JobRequestReader.read(body);
    } catch (ElmsailException malformed) {
      return CompletableFuture.completedFuture(Replies.MALFORMED);
    }
    for (BatchItem batchItem : batchItems) {
      if (config.find(route.host(), batchItem.lane()) == null) {
        return knownOr(jobId, Replies.MALFORMED);
      }
    }
    SubmitHandler call =
        new SubmitHandler(
            context,
            store,
            runner,
            replies,
            jobId,
            route,
            batchItems,
            Math.min(deadlineMs, MOST_SUBMIT_MS));
    int held = call.bytes();
    bytes += held;
    return call.begin().whenComplete((reply, failed) -> bytes -= held);
  }

  /** A job that was taken stays taken, whatever the routes of its items have become since. */
  private CompletableFuture<Reply> knownOr(String jobId, Reply otherwise) {
    return store
        .read(jobId, CALL_MS)
        .thenApply(record -> record == null ? otherwise : Replies.ACCEPTED)
        .exceptionally(failed -> replies.unable());
  }

  @Override
  public CompletableFuture<Reply> read(String jobId, long after, long waitMs) {
    if (!proper(jobId)) {
      return CompletableFuture.completedFuture(Replies.NONE);
    }
    if (held >= MOST_READS) {
      return CompletableFuture.completedFuture(replies.unable());
    }
    ReadHandler reading =
        new ReadHandler(
            context,
            store,
            replies,
            jobId,
            Math.max(0, after),
            Math.max(0, Math.min(waitMs, MOST_WAIT_MS)));
    reads.computeIfAbsent(jobId, id -> new ArrayList<>()).add(reading);
    held++;
    return reading
        .begin()
        .whenComplete(
            (reply, failed) -> {
              held--;
              List<ReadHandler> of = reads.get(jobId);
              of.remove(reading);
              if (of.isEmpty()) {
                reads.remove(jobId);
              }
            });
  }

  @Override
  public CompletableFuture<Reply> item(String jobId, String itemId) {
    if (!proper(jobId) || itemId == null) {
      return CompletableFuture.completedFuture(Replies.NONE);
    }
    return store
        .read(jobId, CALL_MS)
        .thenCompose(
            record -> {
              if (record == null) {
                return CompletableFuture.completedFuture(Replies.NONE);
              }
              return store
                  .batchItems(jobId, record, CALL_MS)
                  .thenApply(
                      batchItems -> {
                        for (BatchItem batchItem : batchItems) {
                          if (batchItem.id().equals(itemId)) {
                            return new Reply(200, batchItem.contents(), 0);
                          }
                        }
                        return Replies.NONE;
                      });
            })
        .exceptionally(failed -> replies.unable());
  }

  @Override
  public CompletableFuture<Reply> end(String jobId) {
    if (!proper(jobId)) {
      return CompletableFuture.completedFuture(Replies.NONE);
    }
    return end(jobId, 2)
        .exceptionally(failed -> Replies.mayHold(failed) ? Replies.UNCLEAR : replies.unable());
  }

  private CompletableFuture<Reply> end(String jobId, int tries) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    context
        .register()
        .change(
            JobRecord.keyOf(jobId),
            found -> {
              JobRecord record = JobRecord.ofValue(found.value());
              return new Register.ProposedValue(
                  record == null || record.ended() ? null : record.endedNow().packed(), List.of());
            },
            List.of(),
            null,
            CALL_MS)
        .whenComplete(
            (now, failed) -> {
              if (failed == null) {
                reply.complete(ended(jobId, now));
              } else if (tries > 1) {
                end(jobId, tries - 1)
                    .whenComplete(
                        (later, failedToo) -> {
                          if (failedToo == null) {
                            reply.complete(later);
                          } else {
                            reply.completeExceptionally(
                                Replies.mayHold(failed) ? failed : failedToo);
                          }
                        });
              } else {
                reply.completeExceptionally(failed);
              }
            });
    return reply;
  }

  private Reply ended(String jobId, Register.CommittedState now) {
    JobRecord record = store.decided(jobId, now.current());
    if (record == null) {
      return Replies.NONE;
    }
    ended(jobId);
    if (!record.runner().equals(context.self())) {
      context
          .caller()
          .call(
              record.runner(),
              BatchMessageTypes.message(
                  BatchMessageTypes.ENDED, new ByteWriter().text(jobId).packed()),
              OpaqueMessage.class,
              CALL_MS);
    }
    return Replies.DONE;
  }

  private void ended(String jobId) {
    runner.stop(jobId);
    changed(jobId);
  }

  private void changed(String jobId) {
    List<ReadHandler> of = reads.get(jobId);
    if (of != null) {
      for (ReadHandler reading : List.copyOf(of)) {
        reading.wake();
      }
    }
  }

  private static boolean proper(String jobId) {
    if (jobId == null || jobId.isEmpty() || jobId.length() > MOST_ID) {
      return false;
    }
    for (int i = 0; i < jobId.length(); i++) {
      char one = jobId.charAt(i);
      if (one <= ' ' || one > '~' || one == '/') {
        return false;
      }
    }
    return true;
  }
}
