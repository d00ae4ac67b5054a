package elmsail.controlplane;

import elmsail.batch.store.JobStoreService;
import elmsail.config.ClusterState;
import elmsail.consensus.Replica;
import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.runtime.http.HttpServer;
import elmsail.runtime.http.MetricsEndpoint;
import elmsail.runtime.http.NettyHttpClient;
import elmsail.storage.RecordStore;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control-plane node with its sockets, in one of two shapes: at the head office, where operators
 * call, or at a store. The inner links, the records and the loop are the caller's, who closes them
 * after {@link #end()}.
 */
public final class ControlPlane {
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
  private static final int MOST_BODY = 8 << 20;
  private static final int MOST_METRICS_BODY = 1_024;
  private static final long END_WITHIN_MS = 800;
  private static final long LOOK_MS = 10;

  private final NettyEventLoop loop;
  private final ControlPlaneNode office;
  private final StoreNode house;
  private HttpServer serving;
  private boolean ending;
  private int inHand;

  private ControlPlane(NettyEventLoop loop, ControlPlaneNode office, StoreNode house) {
    this.loop = loop;
    this.office = office;
    this.house = house;
  }

  /**
   * Starts one that serves the operators; called on the loop, before or after {@code
   * links.listen()}.
   *
   * @param records null where the machine has no disk: calls are passed on, and there is no vote
   * @param metrics the process's figures and invariants
   * @return done once the control address is bound; fails with BAD_SETTINGS if it can't be
   */
  public static CompletableFuture<ControlPlane> startHeadOffice(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint links,
      RecordStore records,
      ProcessMetrics metrics) {
    ControlPlaneNode office =
        new ControlPlaneNode(
            settings,
            loop,
            links,
            links,
            records,
            new NettyHttpClient(loop),
            new SecureRandom().nextLong(),
            metrics);
    ControlPlane controlPlane = new ControlPlane(loop, office, null);
    HttpHandler operators = office.operators();
    MetricsEndpoint figures = new MetricsEndpoint(metrics.counters(), loop);
    return HttpServer.listen(
            loop,
            settings.listenAddresses().get("control"),
            call ->
                MetricsEndpoint.PATH.equals(call.path())
                    ? figures.handle(call)
                    : controlPlane.counted(operators, call),
            MOST_BODY)
        .thenApply(
            serving -> {
              controlPlane.serving = serving;
              office.start();
              return controlPlane;
            });
  }

  /**
   * Starts one at a store, keeping jobs; called on the loop, before or after {@code
   * links.listen()}.
   *
   * @param records with a disk, always
   * @param metrics the process's figures and invariants
   */
  public static ControlPlane startVault(
      Settings settings,
      NettyEventLoop loop,
      RpcEndpoint links,
      RecordStore records,
      ProcessMetrics metrics) {
    StoreNode[] house = {null};
    JobStoreService jobs =
        new JobStoreService(
            loop,
            () -> house[0] != null && house[0].replica().isVoting(),
            key -> house[0].replica().dropKey(key),
            settings.bounds().statusMs(),
            metrics);
    house[0] = new StoreNode(settings, loop, links, links, records, jobs, metrics);
    jobs.registerHandlers(links);
    jobs.start();
    house[0].start();
    ControlPlane controlPlane = new ControlPlane(loop, null, house[0]);
    controlPlane.tellFigures(settings.metricsAddress(), metrics);
    return controlPlane;
  }

  /** A store serves all the same where its figures can't be had. */
  private void tellFigures(String address, ProcessMetrics metrics) {
    HttpServer.listen(
            loop, address, new MetricsEndpoint(metrics.counters(), loop), MOST_METRICS_BODY)
        .whenComplete(
            (listening, failed) -> {
              if (failed != null) {
                LOG.warn("no figures are told at {}: {}", address, failed.getMessage());
              } else if (ending) {
                listening.close();
              } else {
                serving = listening;
              }
            });
  }

  /** A store's replica; null at the head office. */
  public Replica replica() {
    return house == null ? null : house.replica();
  }

  /** What a store knows; null at the head office. */
  public ClusterState known() {
    return house == null ? null : house.watcher();
  }

  private CompletableFuture<SimpleHttpResponse> counted(HttpHandler handler, SimpleHttpRequest call) {
    CompletableFuture<SimpleHttpResponse> reply = handler.handle(call);
    inHand++;
    reply.whenComplete((done, failed) -> inHand--);
    return reply;
  }

  /**
   * Takes no new calls of operators, gives the lease up, and is done once those in hand are
   * answered, within 0.8 s at most. On the loop.
   */
  public CompletableFuture<Void> end() {
    ending = true;
    if (serving != null) {
      serving.close();
    }
    if (house != null) {
      house.close();
    }
    if (office != null) {
      office.close();
    }
    CompletableFuture<Void> ended = new CompletableFuture<>();
    look(ended, loop.now() + END_WITHIN_MS);
    return ended;
  }

  private void look(CompletableFuture<Void> ended, long until) {
    if (inHand == 0 || loop.now() >= until) {
      // One turn later, so that the last answer has left.
      loop.schedule(LOOK_MS, () -> ended.complete(null));
    } else {
      loop.schedule(LOOK_MS, () -> look(ended, until));
    }
  }
}
