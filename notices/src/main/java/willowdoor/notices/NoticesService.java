package willowdoor.notices;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Notices service of one front door: a state machine without sockets, threads or a clock. Times are
 * ms of a monotonic clock and never decrease. One thread calls the service. The service passes its
 * effects to {@code effects} during the call; {@code effects} must not call back into the service.
 */
public final class NoticesService {
  /**
   * Time for which readers must lag before the front door counts as slow: over half of all readers,
   * and over half of the readers of at least two customers.
   */
  private static final long FRONT_DOOR_SLOW_MS = 2_000;

  private final Limits limits;
  private final int self;
  private final LongSupplier random;
  private final Consumer<Effect> effects;
  private final ServerSentEvents events;
  private final Interest interest;
  private final Assignment assignment;
  private final StreamRelay relay;
  private final NoticePublisher publisher;
  private final PeerMessageHandler peerMessages;
  private final Map<Long, CustomerReaders> customers = new HashMap<>();
  private final Map<Long, Reader> readers = new HashMap<>();
  private long nowMs;
  private long laggingSinceMs = -1;

  /**
   * Creates the service of a process that has just started.
   *
   * @param self this front door's number in the roster
   * @param generation of this process
   * @param random returns 64 random bits at each call, for the readers' keys
   */
  public NoticesService(
      int self, long generation, Limits limits, LongSupplier random, Consumer<Effect> effects) {
    this(
        self,
        generation,
        limits,
        random,
        effects,
        new Assignment(self, limits),
        new ServerSentEvents());
  }

  NoticesService(
      int self,
      long generation,
      Limits limits,
      LongSupplier random,
      Consumer<Effect> effects,
      Assignment assignment,
      ServerSentEvents events) {
    this.self = self;
    this.limits = limits;
    this.random = random;
    this.effects = effects;
    this.events = events;
    this.assignment = assignment;
    this.interest = new Interest(self, generation);
    StreamRelay.Listener listener =
        new StreamRelay.Listener() {
          @Override
          public void appended(long customer, long bytes, long now) {
            CustomerReaders customerReaders = customers.get(customer);
            if (customerReaders != null) {
              customerReaders.appended(bytes, now);
            }
          }

          @Override
          public void fetched(long customer, PeerMessage.Fetched answer, long now) {
            CustomerReaders customerReaders = customers.get(customer);
            if (customerReaders != null) {
              customerReaders.fetched(answer, now);
            }
          }
        };
    ReplicaHolder process = new ReplicaHolder(self, generation);
    this.relay = new StreamRelay(process, limits, interest, effects, listener);
    this.publisher = new NoticePublisher(self, generation, relay, effects, listener);
    this.peerMessages = new PeerMessageHandler(process, relay, publisher, effects, listener);
  }

  /**
   * Returns which customers have readers here, for the members' exchange. Only this class may
   * change the result.
   */
  public Interest interest() {
    return interest;
  }

  /** Handles a new view of the members. */
  public void view(FleetView view, long now) {
    nowMs = now;
    interest.retainMembers(view);
    assignment.view(view, now);
    relay.view(view, now);
  }

  /** Handles another member's interest, received through the members' exchange. */
  public void interest(Interest.Delta delta, long now) {
    nowMs = now;
    Set<Long> changed = interest.apply(delta);
    relay.interestChanged(changed, now);
  }

  /** Handles the establishment of a link that {@link Effect.Connect} requested. */
  public void linkUp(int peer, long now) {
    nowMs = now;
    relay.linkUp(peer, now);
  }

  /** Handles the loss of a link that {@link Effect.Connect} requested. */
  public void linkDown(int peer, long now) {
    nowMs = now;
    relay.linkDown(peer);
  }

  /** Handles a message of a peer, received on either link. */
  public void message(int peer, PeerMessage message, long now) {
    nowMs = now;
    peerMessages.message(peer, message, now);
  }

  /**
   * Publishes a notice of a customer. {@link Effect.Answer} with this call's number answers the
   * call at most 2 s later.
   */
  public void publish(long call, NoticesApi.Publish notice, long now) {
    nowMs = now;
    publisher.publish(call, notice.customer(), notice.body(), now);
  }

  /**
   * Handles a reader whose response head is written.
   *
   * @return null, or the reason for a 503 if the reader is refused
   */
  public String read(long id, NoticesApi.Read read, long now) {
    nowMs = now;
    RetainedNotices retained = relay.retained(read.customer());
    if (retained == null || !interest.hasRoomFor(read.customer())) {
      return "too many customers have readers here";
    }
    Position resume = read.lastEventId() == null ? null : Position.parse(read.lastEventId());
    MoveOrder order = read.order();
    // The order identifies the reader even if the order is no longer valid. Assignment.accept
    // checks the validity.
    Reader reader =
        new Reader(
            id,
            read.customer(),
            order == null ? random.getAsLong() : order.key(),
            order == null ? self : order.home(),
            order == null ? 0 : order.count(),
            resume == null ? retained.latestPosition() : resume,
            now);
    if (order != null && assignment.accept(order, now) && order.pace() != null) {
      reader.slowClass = order.pace();
      reader.movedHere = true;
    }
    CustomerReaders customerReaders =
        customers.computeIfAbsent(
            read.customer(),
            c ->
                new CustomerReaders(retained, limits, events, assignment, callbacks, effects, now));
    readers.put(id, reader);
    customerReaders.add(reader, resume, now);
    retained.readerArrived(resume, now);
    interest.set(read.customer(), true);
    return null;
  }

  /** A reader's connection has ended. */
  public void readerGone(long id, long now) {
    nowMs = now;
    Reader reader = readers.remove(id);
    if (reader == null) {
      return;
    }
    CustomerReaders customerReaders = customers.get(reader.customer);
    customerReaders.remove(reader, now);
    if (customerReaders.isEmpty()) {
      customers.remove(reader.customer);
      customerReaders.retained.lastReaderLeft();
      interest.set(reader.customer, false);
    }
  }

  /** Records bytes that a reader's socket has taken. */
  public void bytesTaken(long id, long bytes, long now) {
    nowMs = now;
    Reader reader = readers.get(id);
    if (reader != null) {
      customers.get(reader.customer).bytesTaken(reader, bytes, now);
    }
  }

  /** Must be called every {@link Limits#TICK_MS}. */
  public void tick(long now) {
    nowMs = now;
    publisher.tick(now);
    relay.tick(now);
    boolean frontDoorSlow = isSlow(now);
    int all = 0;
    int lagging = 0;
    int laggingCustomers = 0;
    for (CustomerReaders customerReaders : new ArrayList<>(customers.values())) {
      CustomerReaders.LagSample sample = customerReaders.sample(frontDoorSlow, now);
      all += sample.readers();
      lagging += sample.lagging();
      laggingCustomers += sample.readers() > 1 && sample.lagging() > sample.readers() / 2 ? 1 : 0;
    }
    boolean mostLag = lagging > all / 2 && laggingCustomers > 1;
    laggingSinceMs = !mostLag ? -1 : laggingSinceMs < 0 ? now : laggingSinceMs;
  }

  /** Returns whether this front door itself holds up its readers. */
  public boolean isSlow(long now) {
    return laggingSinceMs >= 0 && now - laggingSinceMs >= FRONT_DOOR_SLOW_MS;
  }

  /** Returns the peers that have left notices unconfirmed for over a second. */
  public List<Integer> slowLinks(long now) {
    return relay.slowLinks(now);
  }

  /**
   * Number of readers here, number of readers served individually, bytes in the groups' windows,
   * and number of notices not confirmed yet.
   */
  public record Stats(int readers, int individualReaders, long groupBytes, int pending) {}

  public Stats stats() {
    int alone = 0;
    long held = 0;
    for (CustomerReaders customerReaders : customers.values()) {
      alone += customerReaders.individualReaders();
      held += customerReaders.groupBytes();
    }
    return new Stats(readers.size(), alone, held, publisher.pending());
  }

  private final CustomerReaders.Callbacks callbacks =
      new CustomerReaders.Callbacks() {
        @Override
        public boolean fetch(IndividualDelivery.MissingRange range) {
          return relay.fetch(range, nowMs);
        }

        @Override
        public void close(Reader reader, String reason) {
          reader.closing = true;
          if (!reason.equals("moved")) {
            byte[] bytes = events.closed(reason, reader.position);
            reader.write(new Reader.Chunk(bytes, reader.position, null, 0, nowMs), effects);
          }
          effects.accept(new Effect.Close(reader.id, reason));
        }
      };
}
