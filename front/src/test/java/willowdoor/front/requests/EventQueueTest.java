package willowdoor.front.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import willowdoor.front.loop.Clock;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.BackendListKind;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.TimerFired;

/** Tests the order in which the policy gets events. The test advances the clock itself. */
class EventQueueTest {

  private long nanos;
  private final Clock clock = new Clock(Instant.EPOCH, () -> nanos);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<Event> delivered = new ArrayList<>();
  private final EventQueue eventQueue = new EventQueue(channel.eventLoop(), clock, delivered::add);

  @AfterEach
  void close() {
    channel.close();
  }

  private static BackendList list(Phase phase) {
    return new BackendList(
        BackendListKind.CHANGES, List.of(new BackendEntry(1, "a", 0, phase, 1, 0)));
  }

  @Test
  void listsThatArrivedDuringAPauseAreDeliveredFirstInOrder() {
    nanos += TimeUnit.SECONDS.toNanos(1);
    TimerFired event = new TimerFired("tick");
    eventQueue.add(event);
    eventQueue.addList(list(Phase.SERVING), () -> {});
    eventQueue.addList(list(Phase.DRAINING), () -> {});
    assertEquals(List.of(), delivered);
    channel.runScheduledPendingTasks();
    assertEquals(List.of(list(Phase.SERVING), list(Phase.DRAINING), event), delivered);
  }

  @Test
  void eventsCausedByAListAreDeliveredAfterIt() {
    TimerFired event = new TimerFired("ended");
    eventQueue.addList(list(Phase.DRAINING), () -> eventQueue.add(event));
    assertEquals(List.of(list(Phase.DRAINING), event), delivered);
  }
}
