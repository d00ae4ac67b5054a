package willowdoor.lab.run;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.Recorder;

/** Records when one of the lab's own loops stood still, as what passes through it then is late. */
final class Pulse {

  private static final long EVERY_MS = 10;
  private static final long LATE_US = 50_000;

  private final Recorder records;
  private final String name;
  private long lastUs;

  private Pulse(Recorder records, String name) {
    this.records = records;
    this.name = name;
    lastUs = records.clock().nowUs();
  }

  static Future<?> of(EventLoop loop, Recorder records, String name) {
    Pulse pulse = new Pulse(records, name);
    return loop.scheduleWithFixedDelay(pulse::beat, EVERY_MS, EVERY_MS, TimeUnit.MILLISECONDS);
  }

  private void beat() {
    long now = records.clock().nowUs();
    if (now - lastUs > LATE_US) {
      records.write(new Entry.HeldUp(lastUs, now, name));
    }
    lastUs = now;
  }
}
