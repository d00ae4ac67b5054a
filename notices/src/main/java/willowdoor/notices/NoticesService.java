package willowdoor.notices;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The notices of one front door: a state machine without sockets, threads or a clock. Times are ms
 * of a monotonic clock and never fall. Called by one thread; what it wants done is given to {@code
 * effects} during the call, which must not call back into it.
 */
public final class NoticesService {
  /**
   * The front door is slow while over half of its readers lag, of two customers at least, for so
   * long.
   */
  private static final long DOOR_SLOW_MS = 2_000;

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
   * Makes the notices of a process that has just started.
   *
   * @param self this front door's number in the roster
   * @param generation of this process
   * @param random 64 random bits at each call, for the readers' keys
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
            CustomerReaders of = customers.get(customer);
            if (of != null) {
              of.appended(bytes, now);
            }
          }

          @Override
          public void fetched(long customer, PeerMessage.Fetched answer, long now) {
            CustomerReaders of = customers.get(customer);
            if (of != null) {
              of.fetched(answer, now);
            }
          }
        };
    ReplicaHolder process = new ReplicaHolder(self, generation);
    this.relay = new StreamRelay(process, limits, interest, effects, listener);
    this.publisher = new NoticePublisher(self, generation, relay, effects, listener);
    this.peerMessages = new PeerMessageHandler(process, relay, publisher, effects, listener);
  }

  /**
   * Which customers have readers here, for the members' exchange; to be changed by this class
   * alone.
   */
  public Interest interest() {
    return interest;
  }

  /** The view of the members has changed. */
  public void view(FleetView view, long now) {
    nowMs = now;
    interest.retainMembers(view);
    assignment.view(view, now);
    relay.view(view, now);
  }

  /** Another member's interest has come with the members' exchange. */
  public void interest(Interest.Delta delta, long now) {
    nowMs = now;
    Set<Long> changed = interest.apply(delta);
    relay.interestChanged(changed, now);
  }

  /** A link that {@link Effect.Connect} asked for stands. */
  public void linkUp(int peer, long now) {
    nowMs = now;
    relay.linkUp(peer, now);
  }

  /** It does not any more. */
  public void linkDown(int peer, long now) {
    nowMs = now;
    relay.linkDown(peer);
  }

  /** A peer has said something, on either link. */
  public void message(int peer, PeerMessage message, long now) {
    nowMs = now;
    peerMessages.message(peer, message, now);
  }

  /**
   * A customer publishes; {@link Effect.Answer} with this call's number answers it, at most 2 s
   * later.
   */
  public void publish(long call, NoticesApi.Publish notice, long now) {
    nowMs = now;
    publisher.publish(call, notice.customer(), notice.body(), now);
  }

  /**
   * A reader has come, and its answer's head is written.
   *
   * @return null, or why it cannot be taken, for a 503
   */
  public String read(long id, NoticesApi.Read read, long now) {
    nowMs = now;
    RetainedNotices retained = relay.retained(read.customer());
    if (retained == null || !interest.hasRoomFor(read.customer())) {
      return "too many customers have readers here";
    }
    Position resume = read.lastEventId() == null ? null : Position.parse(read.lastEventId());
    MoveOrder order = read.order();
    // The order tells who the reader is; where it goes by it is another question, and the order's
    // number
    // answers that.
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
    CustomerReaders of =
        customers.computeIfAbsent(
            read.customer(),
            c ->
                new CustomerReaders(retained, limits, events, assignment, callbacks, effects, now));
    readers.put(id, reader);
    of.add(reader, resume, now);
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
    CustomerReaders of = customers.get(reader.customer);
    of.remove(reader, now);
    if (of.isEmpty()) {
      customers.remove(reader.customer);
      of.retained.lastReaderLeft();
      interest.set(reader.customer, false);
    }
  }

  /** A reader's socket has taken so many bytes of what was written. */
  public void taken(long id, long bytes, long now) {
    nowMs = now;
    Reader reader = readers.get(id);
    if (reader != null) {
      customers.get(reader.customer).taken(reader, bytes, now);
    }
  }

  /** To be called every {@link Limits#TICK_MS}. */
  public void tick(long now) {
    nowMs = now;
    publisher.tick(now);
    relay.tick(now);
    boolean frontDoorSlow = isSlow(now);
    int all = 0;
    int lagging = 0;
    int laggingCustomers = 0;
    for (CustomerReaders of : new ArrayList<>(customers.values())) {
      CustomerReaders.LagSample look = of.sample(frontDoorSlow, now);
      all += look.readers();
      lagging += look.lagging();
      laggingCustomers += look.readers() > 1 && look.lagging() > look.readers() / 2 ? 1 : 0;
    }
    boolean mostLag = lagging > all / 2 && laggingCustomers > 1;
    laggingSinceMs = !mostLag ? -1 : laggingSinceMs < 0 ? now : laggingSinceMs;
  }

  /** Whether this front door itself is what holds its readers up. */
  public boolean isSlow(long now) {
    return laggingSinceMs >= 0 && now - laggingSinceMs >= DOOR_SLOW_MS;
  }

  /** Peers that leave notices unconfirmed for over a second. */
  public List<Integer> slowLinks(long now) {
    return relay.slowLinks(now);
  }

  /** Readers here; those that read alone; bytes that groups hold; notices not confirmed yet. */
  public record Stats(int readers, int individualReaders, long groupBytes, int pending) {}

  public Stats stats() {
    int alone = 0;
    long held = 0;
    for (CustomerReaders of : customers.values()) {
      alone += of.individualReaders();
      held += of.groupBytes();
    }
    return new Stats(readers.size(), alone, held, publisher.pending());
  }

  private final CustomerReaders.Callbacks callbacks =
      new CustomerReaders.Callbacks() {
        @Override
        public boolean fetch(IndividualDelivery.MissingRange lack) {
          return relay.fetch(lack, nowMs);
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
