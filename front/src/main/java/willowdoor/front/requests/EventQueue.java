package willowdoor.front.requests;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import willowdoor.front.loop.Clock;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.Event;

/**
 * Queues events for the policy and delivers them one at a time: an event that is added while
 * another is handled waits, because the policy is not reentrant. After a pause of the process, no
 * event is delivered before all input that arrived during the pause is read. Backend lists are
 * delivered first: a drain that was announced during the pause then applies to everything that is
 * sent after it.
 */
final class EventQueue {

  /**
   * The policy gets an event at least every 250 ms. A gap above this limit means that the process
   * stood still.
   */
  private static final double STALL_MS = 500;

  private final EventLoop loop;
  private final Clock clock;
  private final Consumer<Event> policy;

  /** Backend lists, in their order. They are delivered before all other events. */
  private final ArrayDeque<Event> lists = new ArrayDeque<>(1);

  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private boolean delivering;
  private boolean paused;
  private double deliveredAt;

  EventQueue(EventLoop loop, Clock clock, Consumer<Event> policy) {
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    deliveredAt = clock.now();
  }

  void add(Event event) {
    events.add(event);
    drain();
  }

  /** Adds a list and runs the task. Events that the task adds are delivered after the list. */
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
    if (delivering || paused) {
      return;
    }
    double now = clock.now();
    paused = now - deliveredAt > STALL_MS;
    deliveredAt = now;
    if (paused) {
      // The loop runs a scheduled task, even one that another scheduled task adds, only after its
      // next poll of the sockets.
      loop.schedule(
          () -> {
            paused = false;
            drain();
          },
          0,
          TimeUnit.MILLISECONDS);
      return;
    }
    delivering = true;
    try {
      for (Event e = next(); e != null; e = next()) {
        policy.accept(e);
      }
    } finally {
      delivering = false;
    }
  }

  private Event next() {
    return lists.isEmpty() ? events.poll() : lists.poll();
  }
}
