package willowdoor.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.front.clients.ClientServer;
import willowdoor.front.clients.RequestReader;
import willowdoor.front.counter.CounterClient;
import willowdoor.front.discovery.DiscoveryClient;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.Descriptors;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.LoopGroup;
import willowdoor.front.loop.PollTimes;
import willowdoor.front.loop.Transport;
import willowdoor.front.operators.Management;
import willowdoor.front.operators.OperatorFile;
import willowdoor.front.requests.PolicyDriver;
import willowdoor.front.servers.BackendPool;
import willowdoor.front.start.WarmUp;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.QuotaPolicy;

/**
 * One gateway process: creates its components, starts them and shuts them down in an orderly way.
 */
final class FrontDoor implements Management.Operator {

  private static final Logger LOG = Logger.getLogger(FrontDoor.class.getName());

  /**
   * The platform sends SIGKILL no sooner after SIGTERM than the longest deadline, counted as 3 s
   * where it is longer, plus 0.7 s. By then all requests are answered and the responses are sent.
   */
  private static final long MAX_DEADLINE_MS = 3_000;

  private static final double ANSWER_MARGIN_MS = 300;
  private static final double CLOSE_MARGIN_MS = 275;

  /**
   * Interval of the drain's steps: each step closes idle connections and checks whether the drain
   * is complete.
   */
  private static final long DRAIN_STEP_MS = 10;

  private static final long COUNTERS_LOG_INTERVAL_S = 10;

  /**
   * The number of warm-up requests, and the limit of the warm-up's duration on a busy core: a new
   * process must be ready within 6 s.
   */
  private static final int WARM_UP_REQUESTS = 80;

  private static final long WARM_UP_MS = 1_500;

  /** Interval at which the operators' file is checked for calls that the other process received. */
  private static final long OPERATOR_FILE_CHECK_MS = 50;

  private final Clock clock = new Clock();
  private final PollTimes pollTimes = new PollTimes(clock.now());
  private final Transport transport;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final CountDownLatch ended = new CountDownLatch(1);
  private PolicyDriver driver;
  private ClientServer clients;
  private CounterClient counter;
  private DiscoveryClient discovery;
  private Channel listening;
  private Management management;

  /** Whether the process can serve; read by the management thread. */
  private volatile boolean canServe;

  /** The operators' requests as they are in force, and the file that stores them. */
  private OperatorFile.State operators = OperatorFile.State.NONE;

  private OperatorFile file;

  /** How long after the start of the shutdown all requests are answered, in milliseconds. */
  private double drainMs;

  /** A configuration reloaded on SIGHUP before the components were created. */
  private Config reloadedConfig;

  /** Whether the process has started to listen for clients, and whether its shutdown has begun. */
  private boolean listenStarted;

  private boolean shuttingDown;

  private FrontDoor(Transport transport) {
    this.transport = transport;
    group = new LoopGroup(transport.ioHandler(), clock, pollTimes);
    loop = group.next();
  }

  /**
   * Reads the configuration that the environment names, and serves until the process is terminated.
   */
  static void serve() throws IOException, InterruptedException {
    String file = System.getenv("GW_CONFIG");
    if (file == null) {
      throw new IOException("GW_CONFIG is not set");
    }
    Path path = Path.of(file);
    FrontDoor door = new FrontDoor(Transport.BEST);
    // Both signals may arrive at any time and need handlers first: SIGHUP would terminate the
    // process, and SIGTERM would terminate it while clients are waiting.
    door.reloadOnHangUp(path);
    Runtime.getRuntime().addShutdownHook(new Thread(door::shutDown, "end"));
    Config config = Config.read(path);
    Path operators =
        Path.of(System.getProperty("java.io.tmpdir"), "willowdoor-" + config.name() + ".json");
    door.startListening(
        config, Config.inherited(), operators, () -> warmUp(config, WARM_UP_REQUESTS, WARM_UP_MS));
    door.startServing();
  }

  /**
   * Listens on the configured address if no socket is inherited. The operators' file is shared by
   * the processes of one gateway.
   */
  static FrontDoor start(Config config, ServerSocketChannel inherited, Path operators)
      throws IOException, InterruptedException {
    FrontDoor door = new FrontDoor(Transport.BEST);
    door.startListening(config, inherited, operators, () -> {});
    door.startServing();
    return door;
  }

  /**
   * Starts the management address first; clients, servers and discovery are started after the
   * preparation. No request is sent by the configuration's list while the agent may have a newer
   * list. That newer list counts as delivered by now, because clients that still regard the
   * previous process as alive would have their requests sent by it.
   */
  private void startListening(
      Config config, ServerSocketChannel inherited, Path operators, Runnable preparation)
      throws IOException, InterruptedException {
    try {
      if (config.management() != null) {
        management = Management.listen(config.management(), this);
      }
      file = new OperatorFile(operators);
      preparation.run();
      loop.submit(() -> createComponents(config)).sync();
      if (discovery != null && inherited == null) {
        discovery.caughtUp().sync();
      }
      listening = loop.submit(() -> listen(config, inherited)).sync().getNow().sync().channel();
    } catch (RuntimeException e) {
      stop();
      throw e;
    } catch (Exception e) {
      stop();
      throw new IOException("cannot listen on " + config.listen() + ": " + e.getMessage(), e);
    }
  }

  private ChannelFuture listen(Config config, ServerSocketChannel inherited) {
    if (shuttingDown) {
      throw new IllegalStateException("shutdown was requested before the process was ready");
    }
    listenStarted = true;
    return inherited == null
        ? clients.listen(group, config.listen())
        : clients.adopt(group, inherited);
  }

  /** Starts serving: from here on the process reports that it is ready if it is. */
  private void startServing() throws InterruptedException {
    loop.submit(this::onServing).sync();
  }

  /**
   * Serves synthetic requests inside the process, so that the Java runtime has loaded and compiled
   * the request path before the first real request arrives. A failure only makes the first requests
   * slower. Returns the number of answered requests.
   */
  static int warmUp(Config config, int requests, long limitMs) {
    FrontDoor door = new FrontDoor(Transport.IN_PROCESS);
    try {
      WarmUp warmUp = new WarmUp(config.settings(), door.group);
      Config inside = config.withPeers(warmUp.door(), warmUp.counter(), warmUp.servers());
      door.startListening(inside, null, Path.of(""), () -> {});
      door.startServing();
      int answered = warmUp.play(requests, limitMs);
      LOG.info(() -> "warmed up with " + answered + " requests inside the process");
      return answered;
    } catch (IOException | RuntimeException e) {
      LOG.log(Level.WARNING, "the warm-up failed: the first requests will be slow", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      door.stop();
    }
    return 0;
  }

  SocketAddress address() {
    return listening.localAddress();
  }

  SocketAddress managementAddress() {
    return management == null ? null : management.address();
  }

  EventLoop loop() {
    return loop;
  }

  /** Returns the policy module's figures for the log, read on the event loop. */
  String figures() throws InterruptedException {
    return loop.submit(driver::policyStats).sync().getNow();
  }

  @Override
  public boolean ready() {
    return canServe;
  }

  @Override
  public Future<Boolean> drain(boolean on) {
    return change(null, state -> state.drained(on));
  }

  @Override
  public Future<Boolean> setExcluded(String host, boolean out) {
    return change(host, state -> state.excluded(host, out));
  }

  /**
   * Stores a change, then applies it. The result is false if the change names an unknown template
   * server.
   */
  private Future<Boolean> change(String host, UnaryOperator<OperatorFile.State> change) {
    return loop.submit(
        () -> {
          if (clients == null) {
            throw new IllegalStateException("still starting");
          }
          if (host != null && !driver.isKnownBackend(host)) {
            return false;
          }
          applyOperatorState(file.change(change));
          return true;
        });
  }

  /** Applies changes of the operators' file, which the other process may have written. */
  private void applyOperatorState(OperatorFile.State requested) {
    OperatorFile.State before = operators;
    if (requested == before) {
      return;
    }
    operators = requested;
    requested.excluded().stream()
        .filter(h -> !before.excluded().contains(h))
        .forEach(h -> driver.setExcluded(h, true));
    before.excluded().stream()
        .filter(h -> !requested.excluded().contains(h))
        .forEach(h -> driver.setExcluded(h, false));
    if (requested.drained() != before.drained()) {
      clients.setOperatorDrain(requested.drained());
    }
    LOG.info(
        () ->
            "operators' drain is "
                + (requested.drained() ? "on" : "off")
                + ", excluded template servers are "
                + requested.excluded());
  }

  private void createComponents(Config config) {
    drainMs =
        ANSWER_MARGIN_MS
            + config.settings().classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .map(ms -> ms > 0 ? Math.min(ms, MAX_DEADLINE_MS) : MAX_DEADLINE_MS)
                .max()
                .orElse(MAX_DEADLINE_MS);
    EventCounters counters = new EventCounters();
    Descriptors descriptors = config.descriptors();
    QuotaPolicy policy = new QuotaPolicy(config.settings(), config.seed());
    BackendPool backends =
        new BackendPool(
            loop,
            transport,
            clock,
            counters,
            policy::isExcluded,
            descriptors.backends(),
            config.connectLimitMs(),
            config.idleLimitMs());
    driver = new PolicyDriver(loop, clock, policy, backends, counters);
    clients =
        new ClientServer(
            transport,
            clock,
            pollTimes,
            driver,
            new RequestReader(config.settings()),
            descriptors,
            counters,
            () -> (discovery == null || discovery.caughtUp().isDone()) && backends.hasBackends());
    Config newest = reloadedConfig == null ? config : reloadedConfig;
    counter =
        new CounterClient(
            loop,
            transport,
            clock,
            newest.counter(),
            config.settings().options().counterTimeoutMs(),
            counters,
            driver::onCounterResult);
    if (newest.counter() != null) {
      counter.start();
    }
    driver.start(counter, config.known());
    if (transport.tcp()) {
      LOG.info(config::describe);
    }
    if (management != null) {
      applyOperatorState(file.refresh());
      loop.scheduleWithFixedDelay(
          () -> applyOperatorState(file.refresh()),
          OPERATOR_FILE_CHECK_MS,
          OPERATOR_FILE_CHECK_MS,
          TimeUnit.MILLISECONDS);
    }
    if (newest.discovery() != null) {
      discovery =
          new DiscoveryClient(
              loop,
              transport,
              clock,
              newest.discovery(),
              config.known().version(),
              counters,
              driver::onRoster);
      discovery.start();
    }
    loop.scheduleWithFixedDelay(
        () ->
            counters.log(
                "clients="
                    + clients.openConnections()
                    + " backends="
                    + backends.connections()
                    + " held="
                    + driver.requestCount()
                    + ' '
                    + driver.policyStats()),
        COUNTERS_LOG_INTERVAL_S,
        COUNTERS_LOG_INTERVAL_S,
        TimeUnit.SECONDS);
  }

  /**
   * Reloads the configuration on SIGHUP, which signals that the file was replaced. Without a
   * handler SIGHUP would terminate the process.
   */
  void reloadOnHangUp(Path file) {
    SighupHandler.reload(file, config -> loop.execute(() -> moveTo(config)));
  }

  /** Switches to the addresses of a configuration that was reloaded on SIGHUP. */
  private void moveTo(Config config) {
    reloadedConfig = config;
    if (discovery != null) {
      discovery.moveTo(config.discovery());
    }
    if (counter != null && config.counter() != null) {
      counter.moveTo(config.counter());
    }
    LOG.info(
        () -> "discovery is at " + config.discovery() + " now, the counter at " + config.counter());
  }

  private void onServing() {
    clients.markReady();
    updateState();
    loop.scheduleWithFixedDelay(
        this::updateState, DRAIN_STEP_MS, DRAIN_STEP_MS, TimeUnit.MILLISECONDS);
  }

  /** Continues a drain, and updates the state that management reports. */
  private void updateState() {
    clients.acceptIfReady();
    canServe = clients.canServe();
    clients.closeIdleConnections();
    if (clients.isTerminated()) {
      ended.countDown();
    }
  }

  /**
   * Shuts down in an orderly way: accepts connections a little longer, answers all accepted
   * requests, then lets the process terminate.
   */
  void shutDown() {
    try {
      Future<Double> begun = loop.submit(this::beginShutdown);
      if (begun.await(MAX_DEADLINE_MS, TimeUnit.MILLISECONDS)) {
        ended.await(begun.getNow().longValue(), TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RejectedExecutionException e) {
      LOG.log(Level.FINE, "event loop is already shut down", e);
    }
    stop();
  }

  /**
   * Begins the shutdown. Returns how long the rest may take, in milliseconds: 0 if no client can
   * have connected yet.
   */
  private double beginShutdown() {
    shuttingDown = true;
    if (!listenStarted) {
      return 0;
    }
    clients.shutDown();
    driver.shutDownWithin(drainMs);
    return drainMs + CLOSE_MARGIN_MS;
  }

  void stop() {
    if (management != null) {
      management.stop();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
