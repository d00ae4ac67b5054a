package willowdoor.front.clients;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.unix.Socket;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import willowdoor.front.clients.RequestReader.BadRequestException;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.Descriptors;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.PollTimes;
import willowdoor.front.loop.Transport;
import willowdoor.front.requests.ParsedRequest;
import willowdoor.front.requests.PolicyDriver;

/** Accepts clients and holds the state that their connections share. */
public final class ClientServer {

  private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());

  /** A client's connection without any traffic for this long is closed. */
  private static final int IDLE_TIMEOUT_S = 30;

  /**
   * Clients open a connection in order to send a request. A connection that has had no request for
   * this long is evicted first.
   */
  private static final double SILENT_MS = 500;

  /**
   * For this long after a drain begins, the responses to active clients say that they are the last
   * on their connection. New connections go on arriving for the first 0.4 s. Connections that are
   * idle after this time are closed.
   */
  private static final double DRAIN_NOTICE_MS = 550;

  /**
   * The time that a connection which was opened shortly before the shutdown has for its first
   * request.
   */
  private static final double FIRST_REQUEST_MS = 100;

  /**
   * Idle connections are closed a few at a time; input that arrived meanwhile is read in between.
   */
  private static final int MAX_CLOSED_PER_ROUND = 8;

  /** The number of connections that are tried in order to make room for a new one. */
  private static final int MAX_EVICTION_TRIES = 8;

  private static final int MAX_REQUESTS = 400;
  private static final int MAX_REQUEST_BYTES = 8 << 20;

  /** Size in bytes of a peer address of any family, with its length. */
  private static final int MAX_ADDRESS_BYTES = 26;

  private final Transport transport;
  private final Clock clock;
  private final PollTimes polls;
  private final PolicyDriver driver;
  private final RequestReader reader;
  private final Descriptors descriptors;
  private final EventCounters tally;

  /** Whether the list of template servers is as recent as possible and not empty. */
  private final BooleanSupplier hasBackends;

  private final Set<ClientConnection> connections = new HashSet<>();

  /**
   * Connections that are being closed, oldest first. They are closed at once if descriptors run
   * out.
   */
  private final LinkedHashSet<ClientConnection> lingering = new LinkedHashSet<>();

  /** Connections that have not had a request yet, the oldest first. */
  private final LinkedHashSet<ClientConnection> unused = new LinkedHashSet<>();

  /** Connections that have had a request and have none now, the longest idle first. */
  private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();

  private int bufferedBytes;
  private Channel listener;

  /**
   * Whether the listening socket belongs to the platform, so that other processes accept on it too.
   */
  private boolean sharedListener;

  private boolean accepting = true;
  private boolean ready;

  /**
   * A drain has one of two reasons: the operators' request, which they may withdraw, or the
   * shutdown.
   */
  private boolean operatorDrain;

  private boolean shuttingDown;
  private double drainStartMs;
  private final DrainRounds drainRounds = new DrainRounds();

  public ClientServer(
      Transport transport,
      Clock clock,
      PollTimes polls,
      PolicyDriver driver,
      RequestReader reader,
      Descriptors descriptors,
      EventCounters tally,
      BooleanSupplier hasBackends) {
    this.transport = transport;
    this.clock = clock;
    this.polls = polls;
    this.driver = driver;
    this.reader = reader;
    this.descriptors = descriptors;
    this.tally = tally;
    this.hasBackends = hasBackends;
  }

  public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
    ChannelFuture bound = bootstrap(group).channel(transport.serverSocket()).bind(address);
    listener = bound.channel();
    return bound;
  }

  /** Adopts a listening socket. No connection is accepted on it before this process can serve. */
  public ChannelFuture adopt(EventLoopGroup group, ServerSocketChannel socket) {
    sharedListener = true;
    accepting = false;
    listener = socket;
    return bootstrap(group)
        .channelFactory(() -> socket)
        .option(ChannelOption.AUTO_READ, false)
        .register();
  }

  private ServerBootstrap bootstrap(EventLoopGroup group) {
    return transport
        .server(group)
        .childOption(ChannelOption.AUTO_READ, false)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Transport.WRITE_BUFFER_LIMITS)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, Transport.readBufferAllocator())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new IdleStateHandler(true, 0, 0, IDLE_TIMEOUT_S, TimeUnit.SECONDS))
                    .addLast(new ClientConnection(ClientServer.this, polls).handlers());
              }
            });
  }

  public void markReady() {
    ready = true;
  }

  /** Starts accepting on an adopted socket once this process can serve. */
  public void acceptIfReady() {
    if (!accepting && canServe()) {
      accepting = true;
      listener.config().setAutoRead(true);
    }
  }

  /**
   * Stops accepting. A shared socket stays open, because another process may be accepting on it.
   */
  private void stopAccepting() {
    accepting = false;
    if (sharedListener) {
      listener.config().setAutoRead(false);
    } else {
      acceptBacklog();
      listener.close();
    }
  }

  /**
   * Accepts the connections in the backlog, because closing the listening socket would reset them.
   */
  private void acceptBacklog() {
    if (!(listener instanceof EpollServerSocketChannel epoll)) {
      return;
    }
    Socket socket = (Socket) epoll.fd();
    byte[] peer = new byte[MAX_ADDRESS_BYTES];
    try {
      for (int fd = socket.accept(peer); fd >= 0; fd = socket.accept(peer)) {
        listener.pipeline().fireChannelRead(new EpollSocketChannel(fd));
      }
    } catch (IOException e) {
      LOG.log(Level.WARNING, "could not accept all connections in the backlog", e);
    }
    listener.pipeline().fireChannelReadComplete();
  }

  PolicyDriver driver() {
    return driver;
  }

  ParsedRequest read(HttpRequest message, String target) throws BadRequestException {
    return reader.read(message, target);
  }

  boolean ready() {
    return canServe() && !draining();
  }

  /** Whether this process can serve, apart from a drain by the operators. */
  public boolean canServe() {
    return ready && !shuttingDown && hasBackends.getAsBoolean();
  }

  boolean draining() {
    return operatorDrain || shuttingDown;
  }

  /**
   * Whether the bounds are reached above which requests are refused, so that the process stays
   * within its memory.
   */
  boolean isOverloaded() {
    return driver.requestCount() >= MAX_REQUESTS
        || driver.heldBytes() + bufferedBytes >= MAX_REQUEST_BYTES;
  }

  /**
   * Adds to the count of bytes kept of requests that are still arriving. The bytes are kept until
   * the request is submitted to the policy.
   */
  void addBufferedBytes(int bytes) {
    bufferedBytes += bytes;
  }

  /**
   * Registers a connection. At the limit, a connection without a request is evicted first. Returns
   * true if none could be evicted and the new connection exceeds the limit. Far beyond the limit
   * the new connection is closed at once, as descriptors run out. Connections that are being closed
   * may use half of the descriptors that remain beyond the limit.
   */
  boolean register(ClientConnection connection) {
    if (connections.size() >= descriptors.clients()) {
      evict();
    }
    connections.add(connection);
    unused.add(connection);
    boolean overLimit = connections.size() > descriptors.clients();
    while (!lingering.isEmpty()
        && openConnections() > descriptors.clients() + descriptors.refused() / 2) {
      ClientConnection first = lingering.iterator().next();
      lingering.remove(first);
      first.closeNow();
    }
    if (openConnections() > descriptors.clients() + descriptors.refused()) {
      connection.closeNow();
    }
    if (overLimit) {
      tally.count(EventCounters.Event.CLIENT_REFUSED);
    }
    return overLimit;
  }

  /**
   * Ends a connection without a request. Connections on which bytes have just arrived are ended
   * last; those with a complete request are kept.
   */
  private void evict() {
    ClientConnection withPartialRequest = null;
    ClientConnection candidate = evictionCandidate();
    for (int i = 0; i < MAX_EVICTION_TRIES && candidate != null; i++) {
      if (candidate.closeIfIdle()) {
        tally.count(EventCounters.Event.CLIENT_EVICTED);
        return;
      }
      withPartialRequest =
          withPartialRequest == null && candidate.hasNoRequest() ? candidate : withPartialRequest;
      markBusy(candidate);
      candidate = evictionCandidate();
    }
    if (withPartialRequest != null) {
      withPartialRequest.closeIfNoRequest();
      tally.count(EventCounters.Event.CLIENT_EVICTED);
    }
  }

  /**
   * The next connection to evict: the oldest unused one if it has been silent for too long, else
   * the one that has been idle for the longest time, else the oldest unused one.
   */
  private ClientConnection evictionCandidate() {
    ClientConnection first = unused.isEmpty() ? null : unused.iterator().next();
    boolean silent = first != null && clock.now() - first.openedAt() > SILENT_MS;
    return silent || idle.isEmpty() ? first : idle.iterator().next();
  }

  double now() {
    return clock.now();
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
    lingering.remove(connection);
    unused.remove(connection);
    idle.remove(connection);
  }

  /**
   * Called when everything is sent on the connection and only the client's end of it is
   * outstanding.
   */
  void onLingering(ClientConnection connection) {
    if (connections.contains(connection)) {
      remove(connection);
      lingering.add(connection);
    }
  }

  /** Counts the reason for which a client's connection ended. */
  void count(EventCounters.Event event) {
    tally.count(event);
  }

  void markBusy(ClientConnection connection) {
    unused.remove(connection);
    idle.remove(connection);
  }

  void markIdle(ClientConnection connection) {
    unused.remove(connection);
    idle.remove(connection);
    idle.add(connection);
  }

  /**
   * Starts or withdraws the operators' drain. While it is on, every response ends its connection.
   */
  public void setOperatorDrain(boolean on) {
    if (!draining()) {
      drainStartMs = clock.now();
    }
    operatorDrain = on;
  }

  /**
   * Starts the planned shutdown. It acts as a drain that begins now, even if the operators' drain
   * has been on for long. New connections are no longer accepted: from now on if another process
   * accepts them, else once those that are on their way have arrived.
   */
  public void shutDown() {
    if (shuttingDown) {
      return;
    }
    drainStartMs = clock.now();
    shuttingDown = true;
    if (sharedListener) {
      stopAccepting();
    }
  }

  /** Closes a few connections that have no request, those that have been idle the longest first. */
  public void closeIdleConnections() {
    double now = clock.now();
    if (!drainRounds.shouldAct(now) || !draining() || now - drainStartMs < DRAIN_NOTICE_MS) {
      return;
    }
    if (shuttingDown && accepting) {
      stopAccepting();
    }
    double openedBefore = now - (shuttingDown ? FIRST_REQUEST_MS : SILENT_MS);
    Stream.concat(idle.stream(), unused.stream().takeWhile(c -> c.openedAt() < openedBefore))
        .filter(ClientConnection::isIdle)
        .limit(MAX_CLOSED_PER_ROUND)
        .toList()
        .forEach(ClientConnection::closeIfIdle);
  }

  public int openConnections() {
    return connections.size() + lingering.size();
  }

  /** Whether the shutdown is complete: no more connections are accepted and none is left. */
  public boolean isTerminated() {
    return shuttingDown && !accepting && openConnections() == 0;
  }
}
