package elmsail.gateway;

import elmsail.batch.BatchService;
import elmsail.batch.ItemServers;
import elmsail.config.ClusterState;
import elmsail.gateway.frontend.ClientListener;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.load.LoadChannel;
import elmsail.gateway.load.LoadExchange;
import elmsail.gateway.requests.ItemDispatcher;
import elmsail.gateway.requests.RequestDispatcher;
import elmsail.gateway.requests.RequestProgress;
import elmsail.gateway.servers.Servers;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.runtime.http.HttpServer;
import elmsail.runtime.http.MetricsEndpoint;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The data plane of one process, as a whole. All on the loop. */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final int MOST_READY_BODY = 1_024;
  private static final byte[] NOTHING = new byte[0];

  /**
   * The platform stops sending after two looks a second apart; from then on idle connections end.
   */
  private static final long STILL_SENT_MS = 2_500;

  private static final long STOP_LOOK_MS = 20;

  /**
   * Requests are served until the last sixth of the grace time begins: one whose server has
   * answered by then is not cut.
   */
  private static final int GRACE_PARTS = 6;

  /** Until an answer that was whole at its server just then has passed. */
  private static final long LAST_ANSWERS_MS = 250;

  /** The process needs the rest of a short grace time to end by itself. */
  private static final int MOST_LAST_ANSWERS_PART = 24;

  private final NettyEventLoop loop;
  private final Timers timers;
  private final ClusterState known;
  private final Settings settings;
  private final RequestCounters counters;
  private final MetricsEndpoint figures;
  private final Servers servers;
  private final ItemDispatcher items;
  private final RequestDispatcher desk;
  private final LoadExchange loads;
  private final LoadChannel loadChannel;
  private ClientListener front;
  private HttpServer ready;
  private boolean stopping;

  private Gateway(
      Settings settings,
      NettyEventLoop loop,
      Timers timers,
      ClusterState known,
      BatchService jobs,
      ProcessMetrics metrics) {
    this.loop = loop;
    this.timers = timers;
    this.known = known;
    this.settings = settings;
    counters = new RequestCounters(metrics.counters());
    figures = new MetricsEndpoint(metrics.counters(), timers);
    SplittableRandom chance = new SplittableRandom();
    servers = new Servers(timers, loop.eventLoop(), known, settings.zone(), counters, chance);
    RequestProgress course = new RequestProgress(timers, known, servers, counters, chance);
    loadChannel = new LoadChannel(this::loadHeard);
    loads =
        new LoadExchange(
            timers,
            known,
            settings.rpcAddress(),
            settings.zone(),
            chance.nextLong(),
            servers::ownLoads,
            loadChannel::send);
    servers.share(loads, loads::changed);
    items = new ItemDispatcher(course);
    desk = new RequestDispatcher(course, jobs);
  }

  /**
   * Begins to listen at the slots "front" and "ready"; to be called on the loop.
   *
   * @param metrics the process's figures and invariants
   * @return completes on the loop once both are bound; fails with BAD_SETTINGS
   */
  public static CompletableFuture<Gateway> start(
      Settings settings,
      NettyEventLoop loop,
      ClusterState known,
      BatchService jobs,
      ProcessMetrics metrics) {
    return start(settings, loop, loop, known, jobs, metrics);
  }

  /** Likewise by another clock. */
  static CompletableFuture<Gateway> start(
      Settings settings,
      NettyEventLoop loop,
      Timers timers,
      ClusterState known,
      BatchService jobs,
      ProcessMetrics metrics) {
    return new Gateway(settings, loop, timers, known, jobs, metrics).listen();
  }

  private void loadHeard(LoadReport report) {
    loads.heard(report);
  }

  private CompletableFuture<Gateway> listen() {
    loadChannel.open(loop.eventLoop(), settings.rpcAddress());
    loads.start();
    CompletableFuture<ClientListener> fronted =
        ClientListener.listen(
            timers,
            loop.eventLoop(),
            settings.listenAddresses().get("front"),
            known,
            desk,
            counters,
            settings.limits().maxFileDescriptors());
    CompletableFuture<HttpServer> looked =
        HttpServer.listen(loop, settings.listenAddresses().get("ready"), this::lookedAt, MOST_READY_BODY);
    return fronted.thenCombine(
        looked,
        (f, r) -> {
          front = f;
          ready = r;
          return this;
        });
  }

  /** Answers at the slot "ready": whether the platform is to send, and the process's figures. */
  private CompletableFuture<SimpleHttpResponse> lookedAt(SimpleHttpRequest call) {
    if (!call.path().equals("/ready")) {
      return figures.handle(call);
    }
    return CompletableFuture.completedFuture(
        new SimpleHttpResponse(isReady() ? 200 : 503, Map.of(), NOTHING));
  }

  /** Whether the platform is to send clients here. */
  public boolean isReady() {
    return !stopping && known.config() != null && servers.any();
  }

  /** For the runner of jobs' items. */
  public ItemServers itemServers() {
    return items;
  }

  /** What has happened to requests since the start. */
  public RequestCounters counters() {
    return counters;
  }

  /** Where clients connect to, ip:port. */
  public String frontAddress() {
    return front.address();
  }

  /** Where the platform asks whether to send, ip:port. */
  public String readyAddress() {
    return ready.address();
  }

  /**
   * Is not ready from now on, serves what is open and still comes, and ends soon after five sixths
   * of the grace time.
   *
   * @return completes on the loop when nothing is open any more
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (stopping) {
      done.complete(null);
      return done;
    }
    stopping = true;
    LOG.info("stopping; {} connections of clients are open", front.connections());
    front.beginEnd();
    long grace = settings.bounds().graceMs();
    long end = timers.now() + servedForMs(grace);
    timers.schedule(
        Math.min(STILL_SENT_MS, grace * 3 / 8),
        () -> {
          front.closeIdle();
          whenEmpty(end, done);
        });
    return done;
  }

  /** For how long after the order to stop open requests are served on. */
  private static long servedForMs(long graceMs) {
    return graceMs * (GRACE_PARTS - 1) / GRACE_PARTS
        + Math.min(LAST_ANSWERS_MS, graceMs / MOST_LAST_ANSWERS_PART);
  }

  private void whenEmpty(long end, CompletableFuture<Void> done) {
    if (front.connections() > 0 && timers.now() < end) {
      timers.schedule(STOP_LOOK_MS, () -> whenEmpty(end, done));
      return;
    }
    front.closeAll();
    servers.stop();
    ready.close();
    loads.close();
    loadChannel.close();
    LOG.info("stopped: {}", counters);
    done.complete(null);
  }
}
