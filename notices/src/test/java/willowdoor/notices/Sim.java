package willowdoor.notices;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.WeakHashMap;

/**
 * Simulates front doors, the links between them, publishers and readers, on a simulated clock with
 * steps of 1 ms.
 */
final class Sim extends SimRecords {
  private record ScheduledAction(long atMs, long order, Runnable action) {}

  final int doors;
  final Limits limits;
  final Random random;
  final NoticesService[] services;
  final long[] generation;
  final boolean[][] cut;
  final long[][] linkMs;
  private final Map<Long, Long> publishedMs = new HashMap<>();
  private final Map<Long, Long> customerOf = new HashMap<>();
  int refusedCalls;
  long maxGroupBytes;

  /** Creates the assignment of a front door; replaced, like {@link #events}, to inject defects. */
  java.util.function.IntFunction<Assignment> assignments;

  ServerSentEvents events = new ServerSentEvents();
  private final FleetView[] publishViews;
  private final long[][] session;
  private final boolean[][] wanted;
  private long epoch = 1;
  private long calls;
  private long connections;
  private long orders;
  private final PriorityQueue<ScheduledAction> scheduled =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs() != b.atMs()
                  ? Long.compare(a.atMs(), b.atMs())
                  : Long.compare(a.order(), b.order()));
  private final Map<Long, SimReader> readersByConnection = new HashMap<>();
  private final Set<SimReader> active = new LinkedHashSet<>();

  /** Parsed events by array identity, since arrays have no other equality. */
  private final Map<byte[], List<SimReader.ReceivedEvent>> parsed = new WeakHashMap<>();

  private final ArrayDeque<Runnable> effects = new ArrayDeque<>();

  Sim(int doors, Limits limits, long seed) {
    this.doors = doors;
    this.limits = limits;
    this.random = new Random(seed);
    this.services = new NoticesService[doors];
    this.generation = new long[doors];
    this.publishViews = new FleetView[doors];
    this.cut = new boolean[doors][doors];
    this.linkMs = new long[doors][doors];
    this.session = new long[doors][doors];
    this.wanted = new boolean[doors][doors];
    this.assignments = self -> new Assignment(self, limits);
  }

  Sim start() {
    for (int i = 0; i < doors; i++) {
      java.util.Arrays.fill(linkMs[i], 1);
      restart(i);
    }
    publishViews(0);
    return this;
  }

  void restart(int i) {
    generation[i]++;
    publishViews[i] = null;
    services[i] =
        new NoticesService(
            i,
            generation[i],
            limits,
            random::nextLong,
            e -> effects.add(() -> effect(i, e)),
            assignments.apply(i),
            events);
  }

  void at(long ms, Runnable what) {
    scheduled.add(new ScheduledAction(ms, orders++, what));
  }

  /**
   * Crashes a process. Other front doors detect the crash after {@code seenMs}, each with its own
   * random delay.
   */
  void kill(int i, long seenMs) {
    services[i] = null;
    for (int j = 0; j < doors; j++) {
      down(i, j);
      down(j, i);
    }
    for (SimReader reader : readers) {
      if (reader.door == i) {
        disconnectReader(reader, 100 + random.nextInt(100));
      }
    }
    publishViews(seenMs);
  }

  /** Gives each front door its view of the members: those from which it is not cut off. */
  void publishViews(long inMs) {
    epoch++;
    for (int i = 0; i < doors; i++) {
      if (services[i] == null) {
        continue;
      }
      List<FleetView.Member> members = new ArrayList<>();
      long digest = 0;
      for (int j = 0; j < doors; j++) {
        if (services[j] != null && !cut[i][j]) {
          members.add(new FleetView.Member(j, generation[j], "d" + j));
          digest = digest * 31 + j * 7L + generation[j];
        }
      }
      FleetView view = new FleetView(epoch, digest, members.size() * 2 <= doors, members);
      int self = i;
      at(
          nowMs + inMs + (inMs == 0 ? 0 : random.nextInt(200)),
          () -> {
            if (services[self] != null
                && (publishViews[self] == null || publishViews[self].epoch() < view.epoch())) {
              publishViews[self] = view;
              services[self].view(view, nowMs);
              drain();
            }
          });
    }
  }

  private void down(int from, int to) {
    if (session[from][to] != 0) {
      session[from][to] = 0;
      if (services[from] != null) {
        services[from].linkDown(to, nowMs);
      }
      connect(from, to);
    }
  }

  private void connect(int from, int to) {
    at(
        nowMs + 20 + random.nextInt(20),
        () -> {
          if (!wanted[from][to] || services[from] == null || session[from][to] != 0) {
            return;
          }
          if (services[to] == null || cut[from][to] || cut[to][from]) {
            connect(from, to);
          } else {
            session[from][to] = ++orders;
            services[from].linkUp(to, nowMs);
            drain();
          }
        });
  }

  /** Cuts or restores the network between two front doors, in both directions. */
  void cut(int a, int b, boolean off) {
    cut[a][b] = off;
    cut[b][a] = off;
    down(a, b);
    down(b, a);
  }

  private void effect(int i, Effect effect) {
    if (effect instanceof Effect.Connect connect) {
      wanted[i][connect.peer()] = true;
      connect(i, connect.peer());
    } else if (effect instanceof Effect.Disconnect gone) {
      wanted[i][gone.peer()] = false;
      session[i][gone.peer()] = 0;
    } else if (effect instanceof Effect.Send send) {
      send(i, send.peer(), send.message());
    } else if (effect instanceof Effect.Write write) {
      SimReader reader = readersByConnection.get(write.reader());
      if (reader != null) {
        reader.write(write.bytes());
        active.add(reader);
      }
    } else if (effect instanceof Effect.Close close) {
      close(i, close.reader());
    } else if (effect instanceof Effect.Answer answer) {
      int dot = answer.id() == null ? -1 : answer.id().lastIndexOf('.');
      if (answer.status() == 200) {
        accepted.put(
            answer.call(),
            new Accepted(
                customerOf.get(answer.call()),
                answer.id().substring(0, dot),
                Long.parseLong(answer.id().substring(dot + 1), 36),
                publishedMs.get(answer.call())));
      } else {
        refusedCalls++;
      }
    }
  }

  private void send(int from, int to, PeerMessage message) {
    boolean back = message instanceof PeerMessage.Reply;
    int opener = back ? to : from;
    int other = back ? from : to;
    long sent = session[opener][other];
    if (sent != 0) {
      at(
          nowMs + linkMs[from][to],
          () -> {
            if (session[opener][other] == sent && services[to] != null) {
              services[to].message(from, message, nowMs);
              drain();
            }
          });
    }
  }

  private void close(int i, long connection) {
    SimReader reader = readersByConnection.get(connection);
    if (reader == null) {
      return;
    }
    reader.closing = true;
    at(
        nowMs + 2_000,
        () -> {
          if (reader.connection == connection && reader.closing) {
            endConnection(reader, i);
          }
        });
  }

  private void endConnection(SimReader reader, int i) {
    long connection = reader.connection;
    disconnectReader(reader, reader.order != null ? 5 : 3_000);
    if (services[i] != null) {
      services[i].readerGone(connection, nowMs);
      drain();
    }
  }

  private void disconnectReader(SimReader reader, long forMs) {
    readersByConnection.remove(reader.connection);
    active.remove(reader);
    reader.door = -1;
    reader.closing = false;
    at(nowMs + forMs, () -> connectReader(reader));
  }

  /** Connects a reader: to the target of its move order, or else to a random front door. */
  void connectReader(SimReader reader) {
    MoveOrder order = reader.order;
    reader.order = null;
    int to =
        order != null && services[order.target()] != null ? order.target() : random.nextInt(doors);
    if (services[to] == null) {
      at(nowMs + 20, () -> connectReader(reader));
      return;
    }
    MoveOrder followed = order != null && to == order.target() ? order : null;
    reader.connected(to, ++connections);
    readersByConnection.put(reader.connection, reader);
    NoticesApi.Read read = new NoticesApi.Read(reader.customer, reader.lastId, followed);
    String refusal = services[to].read(reader.connection, read, nowMs);
    if (refusal != null) {
      throw new IllegalStateException(refusal);
    }
    drain();
  }

  SimReader reader(long customer, double bytesPerMs) {
    SimReader reader = new SimReader(readers.size(), customer, bytesPerMs);
    readers.add(reader);
    connectReader(reader);
    return reader;
  }

  /** Posts a notice to a front door. Its text begins with the time of publication. */
  long publish(int to, long customer, int bytes) {
    long call = ++calls;
    publishedMs.put(call, nowMs);
    customerOf.put(call, customer);
    StringBuilder text = new StringBuilder(nowMs + " " + call + " ");
    text.append("x".repeat(Math.max(0, bytes - text.length())));
    byte[] body = text.toString().getBytes(StandardCharsets.UTF_8);
    services[to].publish(call, new NoticesApi.Publish(customer, body), nowMs);
    drain();
    return call;
  }

  void drain() {
    while (!effects.isEmpty()) {
      effects.remove().run();
    }
  }

  void runFor(long forMs) {
    for (long until = nowMs + forMs; nowMs < until; ) {
      nowMs++;
      while (!scheduled.isEmpty() && scheduled.peek().atMs() <= nowMs) {
        scheduled.remove().action().run();
        drain();
      }
      for (SimReader reader : new ArrayList<>(active)) {
        step(reader);
      }
      for (int i = 0; i < doors; i++) {
        if (services[i] != null && nowMs % Limits.TICK_MS == i) {
          services[i].tick(nowMs);
          drain();
          maxGroupBytes = Math.max(maxGroupBytes, services[i].stats().groupBytes());
        }
      }
      if (nowMs % 50 == 0) {
        exchange();
      }
    }
  }

  private void exchange() {
    for (int i = 0; i < doors; i++) {
      for (int j = 0; j < doors; j++) {
        if (i != j && services[i] != null && services[j] != null && !cut[i][j]) {
          services[j].interest(
              services[i]
                  .interest()
                  .changesSince(services[j].interest().knownVersion(i, generation[i])),
              nowMs);
          drain();
        }
      }
    }
  }

  private void step(SimReader reader) {
    long connection = reader.connection;
    int at = reader.door;
    long bytes = reader.read(event -> onEvent(reader, event));
    if (bytes > 0 && reader.door == at && at >= 0) {
      services[at].bytesTaken(connection, bytes, nowMs);
      drain();
    }
    if (reader.idle()) {
      active.remove(reader);
      if (reader.closing) {
        endConnection(reader, at);
      }
    }
  }

  private void onEvent(SimReader reader, byte[] bytes) {
    for (SimReader.ReceivedEvent event :
        parsed.computeIfAbsent(bytes, SimReader.ReceivedEvent::all)) {
      onEvent(reader, event);
    }
  }

  private void onEvent(SimReader reader, SimReader.ReceivedEvent event) {
    reader.onEvent(event, nowMs);
    if (event.type().equals("notice") && !unhealthy.contains(reader)) {
      deliveriesByMs[
          (int)
              Math.min(
                  deliveriesByMs.length - 1, nowMs + reader.latencyMs - event.publishedMs())]++;
    }
    if (event.order() != null) {
      reader.moves++;
      if (event.order().count() > reader.highestCount) {
        reader.highestCount = event.order().count();
        reader.order = event.order();
      }
    }
  }
}
