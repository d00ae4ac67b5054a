package elmsail.gateway;

import elmsail.batch.BatchService;
import elmsail.batch.ItemServers;
import elmsail.config.ClusterState;
import elmsail.config.RevocationBound;
import elmsail.config.RoutingConfig;
import elmsail.gateway.frontend.ClientListener;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.load.LoadChannel;
import elmsail.gateway.load.LoadExchange;
import elmsail.gateway.requests.ItemDispatcher;
import elmsail.gateway.requests.RequestAuthenticator;
import elmsail.gateway.requests.RequestContext;
import elmsail.gateway.requests.RequestDispatcher;
import elmsail.gateway.servers.Servers;
import elmsail.gateway.usage.UsageListener;
import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.ServiceDemand;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpServer;
import elmsail.runtime.http.MetricsEndpoint;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The data plane of one process: listens for clients, forwards their requests to servers and runs
 * batch items. Owned by one event loop; all methods must be called on that loop.
 */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final int MAX_READINESS_BODY_BYTES = 1_024;
  private static final byte[] EMPTY_BODY = new byte[0];

  /**
   * The platform sends readiness probes a second apart and stops sending clients after two failed
   * probes. Idle connections are closed only after this time.
   */
  private static final long READINESS_PROPAGATION_MS = 2_500;

  private static final long DRAIN_CHECK_INTERVAL_MS = 20;

  /**
   * The grace period has this many parts, and requests are served until the last part begins. A
   * response that starts before then is not truncated.
   */
  private static final int GRACE_PARTS = 6;

  /** The time for relaying responses that servers completed at the end of the drain. */
  private static final long MAX_FINAL_RESPONSES_MS = 250;

  /**
   * The final responses get at most the grace period divided by this number. The process needs the
   * rest of a short grace period to exit on its own.
   */
  private static final int FINAL_RESPONSES_GRACE_DIVISOR = 24;

  private final NettyEventLoop loop;
  private final Timers timers;
  private final ClusterState clusterState;
  private final RevocationBound revocationBound;
  private final Settings settings;
  private final RequestCounters counters;
  private final MetricsEndpoint metricsEndpoint;
  private final Servers servers;
  private final ItemDispatcher itemDispatcher;
  private final RequestDispatcher dispatcher;
  private final LoadExchange loadExchange;
  private final LoadChannel loadChannel;
  private ClientListener clientListener;
  private HttpServer readinessServer;
  private UsageListener usageListener = tenant -> {};
  private boolean stopping;

  private Gateway(
      Settings settings,
      NettyEventLoop loop,
      Timers timers,
      ClusterState clusterState,
      BatchService jobs,
      ProcessMetrics metrics) {
    this.loop = loop;
    this.timers = timers;
    this.clusterState = clusterState;
    this.settings = settings;
    counters = new RequestCounters(metrics.counters());
    metricsEndpoint = new MetricsEndpoint(metrics.counters(), timers);
    SplittableRandom random = new SplittableRandom();
    servers =
        new Servers(timers, loop.eventLoop(), clusterState, settings.zone(), counters, random);
    revocationBound = new RevocationBound(clusterState, settings.bounds().revokeMs());
    metrics
        .counters()
        .registerGauge("config_confirmed", () -> revocationBound.mayAdmitKeys() ? 1 : 0);
    metrics
        .counters()
        .registerGauge(
            "config_version",
            () -> clusterState.config() == null ? 0 : clusterState.config().version());
    RequestAuthenticator authenticator =
        new RequestAuthenticator(clusterState, revocationBound::mayAdmitKeys);
    RequestContext context =
        new RequestContext(
            timers, clusterState, servers, counters, authenticator, this::onRequestStarted, random);
    loadChannel = new LoadChannel(this::onLoadReport, metrics.counters());
    loadExchange =
        new LoadExchange(
            timers,
            clusterState,
            settings.rpcAddress(),
            settings.zone(),
            random.nextLong(),
            servers::ownLoads,
            loadChannel::send,
            metrics.counters());
    servers.setPeerLoads(loadExchange, loadExchange::onLoadChanged);
    itemDispatcher = new ItemDispatcher(context);
    dispatcher = new RequestDispatcher(context, jobs);
  }

  /**
   * Listens at the RPC address for load reports, at the address named "front" for clients and at
   * the address named "ready" for readiness probes. Must be called on the loop.
   *
   * @param metrics the metrics and invariants of the process
   * @return completes on the loop once all addresses are bound, the readiness address last; fails
   *     with {@link elmsail.runtime.AddressUnavailableException}
   */
  public static CompletableFuture<Gateway> start(
      Settings settings,
      NettyEventLoop loop,
      ClusterState clusterState,
      BatchService jobs,
      ProcessMetrics metrics) {
    return start(settings, loop, loop, clusterState, jobs, metrics);
  }

  /** Starts a gateway with other timers than those of the loop. */
  static CompletableFuture<Gateway> start(
      Settings settings,
      NettyEventLoop loop,
      Timers timers,
      ClusterState clusterState,
      BatchService jobs,
      ProcessMetrics metrics) {
    return new Gateway(settings, loop, timers, clusterState, jobs, metrics).listen();
  }

  private void onRequestStarted(String tenant) {
    usageListener.onRequestStarted(tenant);
  }

  /** Sets the listener that is notified of each request that a server has started. */
  public void setUsageListener(UsageListener listener) {
    usageListener = listener;
  }

  private void onLoadReport(LoadReport report) {
    loadExchange.onReport(report);
  }

  private CompletableFuture<Gateway> listen() {
    return loadChannel
        .open(loop.eventLoop(), settings.rpcAddress())
        .thenCompose(nothing -> listenForClients())
        .thenCompose(clients -> listenForReadinessProbes())
        .thenApply(
            probes -> {
              loadExchange.start();
              return this;
            });
  }

  private CompletableFuture<Void> listenForClients() {
    return ClientListener.listen(
            timers,
            loop.eventLoop(),
            settings.listenAddresses().get("front"),
            clusterState,
            dispatcher,
            counters,
            settings.limits().maxFileDescriptors())
        .thenAccept(listener -> clientListener = listener);
  }

  /** Binds this address last, so that clients can connect once a probe reports "ready". */
  private CompletableFuture<Void> listenForReadinessProbes() {
    return HttpServer.listen(
            loop,
            settings.listenAddresses().get("ready"),
            this::handleReadinessCall,
            MAX_READINESS_BODY_BYTES)
        .thenAccept(server -> readinessServer = server);
  }

  /**
   * Responds to readiness probes at {@code /ready} and passes other paths to the metrics endpoint.
   */
  private CompletableFuture<SimpleHttpResponse> handleReadinessCall(SimpleHttpRequest call) {
    if (!call.path().equals("/ready")) {
      return metricsEndpoint.handle(call);
    }
    return CompletableFuture.completedFuture(
        new SimpleHttpResponse(isReady() ? 200 : 503, Map.of(), EMPTY_BODY));
  }

  /**
   * Whether the platform should send clients to this gateway. A gateway is ready while it has a
   * configuration and at least one server, and is not shutting down.
   *
   * <p>A gateway that would reject every request with a key is not ready, as other gateways can
   * serve those clients. If all gateways have lost the control plane, being not ready does no harm:
   * the platform uses all gateways of a zone while fewer than half of them are ready.
   */
  public boolean isReady() {
    RoutingConfig config = clusterState.config();
    return !stopping
        && config != null
        && (!config.requiresKeys() || revocationBound.mayAdmitKeys())
        && servers.hasAny();
  }

  /**
   * The demand of this gateway at the services whose number of servers the control plane sets.
   *
   * @param waitingItems number of items, by service, that wait at this gateway for capacity
   */
  public List<ServiceDemand> demand(Map<String, Integer> waitingItems) {
    return servers.demand(waitingItems);
  }

  /** Runs items of batch jobs. */
  public ItemServers itemServers() {
    return itemDispatcher;
  }

  /** Counters of request events since the start. */
  public RequestCounters counters() {
    return counters;
  }

  /** The address that clients connect to, as {@code ip:port}. */
  public String clientAddress() {
    return clientListener.address();
  }

  /** The address of the readiness probe and the metrics, as {@code ip:port}. */
  public String readinessAddress() {
    return readinessServer.address();
  }

  /**
   * Shuts down gracefully. The gateway is not ready from now on, continues to serve open and new
   * requests, and stops soon after five sixths of the grace period.
   *
   * @return completes on the loop once all connections and listeners are closed
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (stopping) {
      done.complete(null);
      return done;
    }
    stopping = true;
    LOG.info(
        "gateway is stopping; {} client connections are open", clientListener.connectionCount());
    clientListener.startDrain();
    long graceMs = settings.bounds().graceMs();
    long drainUntil = timers.now() + drainMs(graceMs);
    timers.schedule(
        Math.min(READINESS_PROPAGATION_MS, graceMs * 3 / 8),
        () -> {
          clientListener.closeIdle();
          awaitDrained(drainUntil, done);
        });
    return done;
  }

  /** The time after the start of a shutdown during which open requests are served. */
  private static long drainMs(long graceMs) {
    return graceMs * (GRACE_PARTS - 1) / GRACE_PARTS
        + Math.min(MAX_FINAL_RESPONSES_MS, graceMs / FINAL_RESPONSES_GRACE_DIVISOR);
  }

  private void awaitDrained(long drainUntil, CompletableFuture<Void> done) {
    if (clientListener.connectionCount() > 0 && timers.now() < drainUntil) {
      timers.schedule(DRAIN_CHECK_INTERVAL_MS, () -> awaitDrained(drainUntil, done));
      return;
    }
    clientListener.closeAll();
    servers.stop();
    readinessServer.close();
    loadExchange.close();
    loadChannel.close();
    LOG.info("gateway stopped; request counters: {}", counters);
    done.complete(null);
  }
}
