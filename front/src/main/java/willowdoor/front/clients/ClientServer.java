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
import willowdoor.front.clients.RequestReader.BadRequest;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.Descriptors;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.PollTimes;
import willowdoor.front.loop.Transport;
import willowdoor.front.requests.Asked;
import willowdoor.front.requests.ModuleDriver;

/** Accepts clients, and tells their connections what all of them share. */
public final class ClientServer {

  private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());

  /** A client's connection on which nothing moves for so long ends. */
  private static final int IDLE_S = 30;

  /** A new connection is opened for a request: one without any after this gives way first. */
  private static final double SILENT_MS = 500;

  /**
   * For so long after the beginning of a drain clients that are at work get their answer with the
   * news that it is the last; new connections go on coming for the first 0.4 s. What is idle then
   * is closed.
   */
  private static final double PARTING_MS = 550;

  /** A connection that was made shortly before the end gets so long for its request. */
  private static final double FIRST_MS = 100;

  /** Idle connections are closed a few at a time: what came meanwhile is read in between. */
  private static final int CLOSED_AT_ONCE = 8;

  /** So many of those that might make room for a new connection are tried. */
  private static final int MOST_TRIED = 8;

  private static final int MOST_HELD = 400;
  private static final int MOST_HELD_BYTES = 8 << 20;

  /** Bytes that tell a peer's address of any family, with their count. */
  private static final int MOST_ADDRESS = 26;

  private final Transport transport;
  private final Clock clock;
  private final PollTimes looks;
  private final ModuleDriver driver;
  private final RequestReader reader;
  private final Descriptors descriptors;
  private final EventCounters tally;

  /** Whether the list of template servers is as new as can be had, and names any. */
  private final BooleanSupplier listed;

  private final Set<ClientConnection> connections = new HashSet<>();

  /**
   * Those that are being closed, the first of them first: they give way where descriptors run out.
   */
  private final LinkedHashSet<ClientConnection> lingering = new LinkedHashSet<>();

  /**
   * Those of them that no request is on, the longest idle first: without a request so far, and
   * after one.
   */
  private final LinkedHashSet<ClientConnection> fresh = new LinkedHashSet<>();

  private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();
  private int kept;
  private Channel listening;

  /** Whether the listening socket is the platform's, and other processes accept on it too. */
  private boolean shared;

  private boolean accepting = true;
  private boolean ready;

  /**
   * The two reasons for a drain: the operators', who may take it back, and the end of the process.
   */
  private boolean evacuated;

  private boolean ending;
  private double drainingSince;
  private final Rounds rounds = new Rounds();

  public ClientServer(
      Transport transport,
      Clock clock,
      PollTimes looks,
      ModuleDriver driver,
      RequestReader reader,
      Descriptors descriptors,
      EventCounters tally,
      BooleanSupplier listed) {
    this.transport = transport;
    this.clock = clock;
    this.looks = looks;
    this.driver = driver;
    this.reader = reader;
    this.descriptors = descriptors;
    this.tally = tally;
    this.listed = listed;
  }

  public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
    ChannelFuture bound = bootstrap(group).channel(transport.serverSocket()).bind(address);
    listening = bound.channel();
    return bound;
  }

  /** Adopts a listening socket; nothing is accepted on it before this process can serve. */
  public ChannelFuture adopt(EventLoopGroup group, ServerSocketChannel socket) {
    shared = true;
    accepting = false;
    listening = socket;
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
                    .addLast(new IdleStateHandler(true, 0, 0, IDLE_S, TimeUnit.SECONDS))
                    .addLast(new ClientConnection(ClientServer.this, looks).handlers());
              }
            });
  }

  public void serve() {
    ready = true;
  }

  /** Begins to accept on an adopted socket once it can serve. */
  public void acceptIfReady() {
    if (!accepting && canServe()) {
      accepting = true;
      listening.config().setAutoRead(true);
    }
  }

  /**
   * Another process may be accepting on a shared socket: this one only stops to, and leaves it
   * open.
   */
  private void stopAccepting() {
    accepting = false;
    if (shared) {
      listening.config().setAutoRead(false);
    } else {
      acceptLast();
      listening.close();
    }
  }

  /** Closing the socket would reset what the system has accepted for it. */
  private void acceptLast() {
    if (!(listening instanceof EpollServerSocketChannel epoll)) {
      return;
    }
    Socket socket = (Socket) epoll.fd();
    byte[] peer = new byte[MOST_ADDRESS];
    try {
      for (int fd = socket.accept(peer); fd >= 0; fd = socket.accept(peer)) {
        listening.pipeline().fireChannelRead(new EpollSocketChannel(fd));
      }
    } catch (IOException e) {
      LOG.log(Level.WARNING, "could not accept all that had come", e);
    }
    listening.pipeline().fireChannelReadComplete();
  }

  ModuleDriver driver() {
    return driver;
  }

  Asked read(HttpRequest message, String target) throws BadRequest {
    return reader.read(message, target);
  }

  boolean ready() {
    return canServe() && !draining();
  }

  /** Whether it could serve, drained by the operators or not. */
  public boolean canServe() {
    return ready && !ending && listed.getAsBoolean();
  }

  boolean draining() {
    return evacuated || ending;
  }

  /** Over these bounds requests are refused, so that the process stays within its memory. */
  boolean full() {
    return driver.held() >= MOST_HELD || driver.heldBytes() + kept >= MOST_HELD_BYTES;
  }

  /**
   * Counts bytes of requests that are still coming, which are kept until those go to the module.
   */
  void keeps(int bytes) {
    kept += bytes;
  }

  /**
   * Makes room by ending a connection without a request. True when there is none and the new one is
   * one too many; far beyond that it ends at once, as descriptors run out. Those that are being
   * closed hold half of what is left beyond the bound.
   */
  boolean opened(ClientConnection connection) {
    if (connections.size() >= descriptors.clients()) {
      evict();
    }
    connections.add(connection);
    fresh.add(connection);
    boolean over = connections.size() > descriptors.clients();
    while (!lingering.isEmpty() && open() > descriptors.clients() + descriptors.refused() / 2) {
      ClientConnection first = lingering.iterator().next();
      lingering.remove(first);
      first.closeOutright();
    }
    if (open() > descriptors.clients() + descriptors.refused()) {
      connection.closeOutright();
    }
    if (over) {
      tally.count(EventCounters.Event.CLIENT_REFUSED);
    }
    return over;
  }

  /**
   * Those on which something has come in this very moment go last, those with a whole request stay.
   */
  private void evict() {
    ClientConnection begun = null;
    ClientConnection spare = spare();
    for (int i = 0; i < MOST_TRIED && spare != null; i++) {
      if (spare.closeIfIdle()) {
        tally.count(EventCounters.Event.CLIENT_EVICTED);
        return;
      }
      begun = begun == null && spare.unasked() ? spare : begun;
      took(spare);
      spare = spare();
    }
    if (begun != null) {
      begun.closeIfUnasked();
      tally.count(EventCounters.Event.CLIENT_EVICTED);
    }
  }

  /**
   * One that has sent nothing though it had the time to, or else the longest idle, or the first to
   * come.
   */
  private ClientConnection spare() {
    ClientConnection first = fresh.isEmpty() ? null : fresh.iterator().next();
    boolean silent = first != null && clock.now() - first.openedAt() > SILENT_MS;
    return silent || idle.isEmpty() ? first : idle.iterator().next();
  }

  double now() {
    return clock.now();
  }

  void closed(ClientConnection connection) {
    connections.remove(connection);
    lingering.remove(connection);
    fresh.remove(connection);
    idle.remove(connection);
  }

  /** All is sent on it, and only the client's end is waited for. */
  void lingers(ClientConnection connection) {
    if (connections.contains(connection)) {
      closed(connection);
      lingering.add(connection);
    }
  }

  /** Counts what a client's connection ended of. */
  void count(EventCounters.Event event) {
    tally.count(event);
  }

  void took(ClientConnection connection) {
    fresh.remove(connection);
    idle.remove(connection);
  }

  void answered(ClientConnection connection) {
    fresh.remove(connection);
    idle.remove(connection);
    idle.add(connection);
  }

  /** The operators' drain, or its end: from here on every answer ends its connection. */
  public void evacuate(boolean on) {
    if (!draining()) {
      drainingSince = clock.now();
    }
    evacuated = on;
  }

  /**
   * The planned end: as a drain that begins now, also where the operators' has been on for long,
   * and no new connections are taken: from now on where another process takes them, else once those
   * on their way have come.
   */
  public void end() {
    if (ending) {
      return;
    }
    drainingSince = clock.now();
    ending = true;
    if (shared) {
      stopAccepting();
    }
  }

  /** Closes a few connections that no request is on, those that wait the longest first. */
  public void partWithIdle() {
    double now = clock.now();
    if (!rounds.acts(now) || !draining() || now - drainingSince < PARTING_MS) {
      return;
    }
    if (ending && accepting) {
      stopAccepting();
    }
    double silentBefore = now - (ending ? FIRST_MS : SILENT_MS);
    Stream.concat(idle.stream(), fresh.stream().takeWhile(c -> c.openedAt() < silentBefore))
        .filter(ClientConnection::waits)
        .limit(CLOSED_AT_ONCE)
        .toList()
        .forEach(ClientConnection::closeIfIdle);
  }

  public int open() {
    return connections.size() + lingering.size();
  }

  /** The end has come: no more connections are taken and none is left. */
  public boolean ended() {
    return ending && !accepting && open() == 0;
  }
}
