package willowdoor.front.requests;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import willowdoor.front.loop.Clock;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.Event;

/**
 * Events on their way to the module, one at a time: what comes up while one is worked on waits for
 * its turn, as the module is not re-entered. Behind a pause of the process nothing is decided
 * before all that came meanwhile is read, and a list goes first: a drain that was told in the pause
 * binds what is sent behind it.
 */
final class EventQueue {

  /**
   * The module is woken every 250 ms at least: when it was not for so long, the process stood
   * still.
   */
  private static final double STALL_MS = 500;

  private final EventLoop loop;
  private final Clock clock;
  private final Consumer<Event> module;

  /** Lists go before all else, in their order. */
  private final ArrayDeque<Event> lists = new ArrayDeque<>(1);

  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private boolean delivering;
  private boolean holding;
  private double deliveredAt;

  EventQueue(EventLoop loop, Clock clock, Consumer<Event> module) {
    this.loop = loop;
    this.clock = clock;
    this.module = module;
    deliveredAt = clock.now();
  }

  void add(Event event) {
    events.add(event);
    drain();
  }

  /** The events that come up as others take the list go behind it. */
  void addList(BackendList list, Runnable endAttempts) {
    lists.add(list);
    boolean wasDelivering = delivering;
    delivering = true;
    try {
      endAttempts.run();
    } finally {
      delivering = wasDelivering;
    }
    drain();
  }

  private void drain() {
    if (delivering || holding) {
      return;
    }
    double now = clock.now();
    holding = now - deliveredAt > STALL_MS;
    deliveredAt = now;
    if (holding) {
      // A timer's turn, also one set by another timer, comes behind the next look at the sockets.
      loop.schedule(
          () -> {
            holding = false;
            drain();
          },
          0,
          TimeUnit.MILLISECONDS);
      return;
    }
    delivering = true;
    try {
      for (Event e = next(); e != null; e = next()) {
        module.accept(e);
      }
    } finally {
      delivering = false;
    }
  }

  private Event next() {
    return lists.isEmpty() ? events.poll() : lists.poll();
  }
}
