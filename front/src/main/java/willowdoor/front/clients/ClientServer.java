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
import willowdoor.front.loop.Looks;
import willowdoor.front.loop.Tally;
import willowdoor.front.loop.Transport;
import willowdoor.front.requests.ParsedRequest;
import willowdoor.front.requests.PolicyDriver;

/** Accepts clients, and tells their connections what all of them share. */
public final class ClientServer {

  private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());

  /** A client's connection on which nothing moves for so long ends. */
  private static final int IDLE_TIMEOUT_S = 30;

  /** A new connection is opened for a request: one without any after this gives way first. */
  private static final double SILENT_MS = 500;

  /**
   * For so long after the beginning of a drain clients that are at work get their answer with the
   * news that it is the last; new connections go on coming for the first 0.4 s. What is idle then
   * is closed.
   */
  private static final double DRAIN_NOTICE_MS = 550;

  /** A connection that was made shortly before the end gets so long for its request. */
  private static final double FIRST_REQUEST_MS = 100;

  /** Idle connections are closed a few at a time: what came meanwhile is read in between. */
  private static final int MAX_CLOSED_PER_ROUND = 8;

  /** So many of those that might make room for a new connection are tried. */
  private static final int MAX_EVICTION_TRIES = 8;

  private static final int MAX_REQUESTS = 400;
  private static final int MAX_REQUEST_BYTES = 8 << 20;

  /** Bytes that tell a peer's address of any family, with their count. */
  private static final int MAX_ADDRESS_BYTES = 26;

  private final Transport transport;
  private final Clock clock;
  private final Looks polls;
  private final PolicyDriver driver;
  private final RequestReader reader;
  private final Descriptors descriptors;
  private final Tally tally;

  /** Whether the list of template servers is as new as can be had, and names any. */
  private final BooleanSupplier hasBackends;

  private final Set<ClientConnection> connections = new HashSet<>();

  /**
   * Those that are being closed, the first of them first: they give way where descriptors run out.
   */
  private final LinkedHashSet<ClientConnection> lingering = new LinkedHashSet<>();

  /**
   * Those of them that no request is on, the longest idle first: without a request so far, and
   * after one.
   */
  private final LinkedHashSet<ClientConnection> unused = new LinkedHashSet<>();

  private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();
  private int bufferedBytes;
  private Channel listener;

  /** Whether the listening socket is the platform's, and other processes accept on it too. */
  private boolean sharedListener;

  private boolean accepting = true;
  private boolean ready;

  /**
   * The two reasons for a drain: the operators', who may take it back, and the end of the process.
   */
  private boolean operatorDrain;

  private boolean shuttingDown;
  private double drainStartMs;
  private final DrainRounds drainRounds = new DrainRounds();

  public ClientServer(
      Transport transport,
      Clock clock,
      Looks polls,
      PolicyDriver driver,
      RequestReader reader,
      Descriptors descriptors,
      Tally tally,
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

  /** Adopts a listening socket; nothing is accepted on it before this process can serve. */
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
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Transport.QUEUE)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, Transport.piece())
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

  /** Begins to accept on an adopted socket once it can serve. */
  public void acceptIfReady() {
    if (!accepting && canServe()) {
      accepting = true;
      listener.config().setAutoRead(true);
    }
  }

  /**
   * Another process may be accepting on a shared socket: this one only stops to, and leaves it
   * open.
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

  /** Closing the socket would reset what the system has accepted for it. */
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
      LOG.log(Level.WARNING, "could not accept all that had come", e);
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

  /** Whether it could serve, drained by the operators or not. */
  public boolean canServe() {
    return ready && !shuttingDown && hasBackends.getAsBoolean();
  }

  boolean draining() {
    return operatorDrain || shuttingDown;
  }

  /** Over these bounds requests are refused, so that the process stays within its memory. */
  boolean isOverloaded() {
    return driver.requestCount() >= MAX_REQUESTS
        || driver.heldBytes() + bufferedBytes >= MAX_REQUEST_BYTES;
  }

  /**
   * Counts bytes of requests that are still coming, which are kept until those go to the module.
   */
  void addBufferedBytes(int bytes) {
    bufferedBytes += bytes;
  }

  /**
   * Makes room by ending a connection without a request. True when there is none and the new one is
   * one too many; far beyond that it ends at once, as descriptors run out. Those that are being
   * closed hold half of what is left beyond the bound.
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
      tally.count(Tally.Event.CLIENT_REFUSED);
    }
    return overLimit;
  }

  /**
   * Those on which something has come in this very moment go last, those with a whole request stay.
   */
  private void evict() {
    ClientConnection withPartialRequest = null;
    ClientConnection candidate = evictionCandidate();
    for (int i = 0; i < MAX_EVICTION_TRIES && candidate != null; i++) {
      if (candidate.closeIfIdle()) {
        tally.count(Tally.Event.CLIENT_EVICTED);
        return;
      }
      withPartialRequest =
          withPartialRequest == null && candidate.hasNoRequest() ? candidate : withPartialRequest;
      markBusy(candidate);
      candidate = evictionCandidate();
    }
    if (withPartialRequest != null) {
      withPartialRequest.closeIfNoRequest();
      tally.count(Tally.Event.CLIENT_EVICTED);
    }
  }

  /**
   * One that has sent nothing though it had the time to, or else the longest idle, or the first to
   * come.
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

  /** All is sent on it, and only the client's end is waited for. */
  void onLingering(ClientConnection connection) {
    if (connections.contains(connection)) {
      remove(connection);
      lingering.add(connection);
    }
  }

  /** Counts what a client's connection ended of. */
  void count(Tally.Event event) {
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

  /** The operators' drain, or its end: from here on every answer ends its connection. */
  public void setOperatorDrain(boolean on) {
    if (!draining()) {
      drainStartMs = clock.now();
    }
    operatorDrain = on;
  }

  /**
   * The planned end: as a drain that begins now, also where the operators' has been on for long,
   * and no new connections are taken: from now on where another process takes them, else once those
   * on their way have come.
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

  /** Closes a few connections that no request is on, those that wait the longest first. */
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

  /** The end has come: no more connections are taken and none is left. */
  public boolean isTerminated() {
    return shuttingDown && !accepting && openConnections() == 0;
  }
}
