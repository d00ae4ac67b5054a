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
public final class NoticesDoor {
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
  private final Passing passing;
  private final Publishing publishing;
  private final Receiving receiving;
  private final Map<Long, Readers> customers = new HashMap<>();
  private final Map<Long, Reader> readers = new HashMap<>();
  private long nowMs;
  private long lagsSinceMs = -1;

  /**
   * Makes the notices of a process that has just started.
   *
   * @param self this front door's number in the roster
   * @param generation of this process
   * @param random 64 random bits at each call, for the readers' keys
   */
  public NoticesDoor(
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

  NoticesDoor(
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
    Passing.Watcher watcher =
        new Passing.Watcher() {
          @Override
          public void appended(long customer, long bytes, long now) {
            Readers of = customers.get(customer);
            if (of != null) {
              of.appended(bytes, now);
            }
          }

          @Override
          public void fetched(long customer, PeerMessage.Fetched answer, long now) {
            Readers of = customers.get(customer);
            if (of != null) {
              of.fetched(answer, now);
            }
          }
        };
    Keeper keeper = new Keeper(self, generation);
    this.passing = new Passing(keeper, limits, interest, effects, watcher);
    this.publishing = new Publishing(self, generation, passing, effects, watcher);
    this.receiving = new Receiving(keeper, passing, publishing, effects, watcher);
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
    interest.keep(view);
    assignment.view(view, now);
    passing.view(view, now);
  }

  /** Another member's interest has come with the members' exchange. */
  public void interest(Interest.Delta delta, long now) {
    nowMs = now;
    Set<Long> changed = interest.apply(delta);
    passing.interested(changed, now);
  }

  /** A link that {@link Effect.Connect} asked for stands. */
  public void linkUp(int peer, long now) {
    nowMs = now;
    passing.linkUp(peer, now);
  }

  /** It does not any more. */
  public void linkDown(int peer, long now) {
    nowMs = now;
    passing.linkDown(peer);
  }

  /** A peer has said something, on either link. */
  public void message(int peer, PeerMessage message, long now) {
    nowMs = now;
    receiving.message(peer, message, now);
  }

  /**
   * A customer publishes; {@link Effect.Answer} with this call's number answers it, at most 2 s
   * later.
   */
  public void publish(long call, NoticesApi.Publish notice, long now) {
    nowMs = now;
    publishing.publish(call, notice.customer(), notice.body(), now);
  }

  /**
   * A reader has come, and its answer's head is written.
   *
   * @return null, or why it cannot be taken, for a 503
   */
  public String read(long id, NoticesApi.Read read, long now) {
    nowMs = now;
    Retained retained = passing.retained(read.customer());
    if (retained == null || !interest.room(read.customer())) {
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
            resume == null ? retained.seen() : resume,
            now);
    if (order != null && assignment.arrive(order, now) && order.pace() != null) {
      reader.slow = order.pace();
      reader.guest = true;
    }
    Readers of =
        customers.computeIfAbsent(
            read.customer(),
            c -> new Readers(retained, limits, events, assignment, around, effects, now));
    readers.put(id, reader);
    of.add(reader, resume, now);
    retained.reader(resume, now);
    interest.set(read.customer(), true);
    return null;
  }

  /** A reader's connection has ended. */
  public void gone(long id, long now) {
    nowMs = now;
    Reader reader = readers.remove(id);
    if (reader == null) {
      return;
    }
    Readers of = customers.get(reader.customer);
    of.remove(reader, now);
    if (of.isEmpty()) {
      customers.remove(reader.customer);
      of.retained.noReaders();
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
    publishing.tick(now);
    passing.tick(now);
    boolean slow = slow(now);
    int all = 0;
    int lagging = 0;
    int lagAlike = 0;
    for (Readers of : new ArrayList<>(customers.values())) {
      Readers.Look look = of.look(slow, now);
      all += look.readers();
      lagging += look.lagging();
      lagAlike += look.readers() > 1 && look.lagging() > look.readers() / 2 ? 1 : 0;
    }
    boolean lags = lagging > all / 2 && lagAlike > 1;
    lagsSinceMs = !lags ? -1 : lagsSinceMs < 0 ? now : lagsSinceMs;
  }

  /** Whether this front door itself is what holds its readers up. */
  public boolean slow(long now) {
    return lagsSinceMs >= 0 && now - lagsSinceMs >= DOOR_SLOW_MS;
  }

  /** Peers that leave notices unconfirmed for over a second. */
  public List<Integer> slowLinks(long now) {
    return passing.slowLinks(now);
  }

  /** Readers here; those that read alone; bytes that groups hold; notices not confirmed yet. */
  public record Figures(int readers, int alone, long groupBytes, int pending) {}

  public Figures figures() {
    int alone = 0;
    long held = 0;
    for (Readers of : customers.values()) {
      alone += of.alone();
      held += of.held();
    }
    return new Figures(readers.size(), alone, held, publishing.pending());
  }

  private final Readers.Around around =
      new Readers.Around() {
        @Override
        public boolean fetch(Alone.Lack lack) {
          return passing.fetch(lack, nowMs);
        }

        @Override
        public void close(Reader reader, String reason) {
          reader.closing = true;
          if (!reason.equals("moved")) {
            byte[] bytes = events.closed(reason, reader.at);
            reader.write(new Reader.Piece(bytes, reader.at, null, 0, nowMs), effects);
          }
          effects.accept(new Effect.Close(reader.id, reason));
        }
      };
}
