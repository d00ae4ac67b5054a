package elmsail.runtime;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Named counters, used on the loop alone. Those that changed are logged in one line every 10 s,
 * with their values. Names are few and fixed: never made of what others send.
 */
public final class Counters {

  private static final Logger LOG = LoggerFactory.getLogger("elmsail.counters");
  private static final long EVERY_MS = 10_000;

  /** One number: hold on to it where it is counted often. */
  public static final class Counter {
    private long value;
    private long logged;

    private Counter() {}

    /** Adds to the value; {@code more} may be negative. */
    public void add(long more) {
      value += more;
    }

    /** For what is not a sum: a length, a size. */
    public void set(long now) {
      value = now;
    }

    /** The present value. */
    public long value() {
      return value;
    }
  }

  private final Map<String, Counter> counters = new LinkedHashMap<>();

  /** Counters without names yet that are never logged. */
  public Counters() {}

  /** Counters without names yet; the first line is logged 10 s from now on these timers. */
  public Counters(Timers timers) {
    timers.after(EVERY_MS, () -> log(timers));
  }

  /** The counter of that name, made at 0 where there is none. */
  public Counter of(String name) {
    Counter counter = counters.get(name);
    if (counter == null) {
      counter = new Counter();
      counters.put(name, counter);
    }
    return counter;
  }

  /** Counts one more. */
  public void add(String name) {
    of(name).add(1);
  }

  private void log(Timers timers) {
    timers.after(EVERY_MS, () -> log(timers));
    String line = changed();
    if (line != null) {
      LOG.info(line);
    }
  }

  /** {@code name=value} of those changed since it was last asked, with spaces; null if none is. */
  String changed() {
    StringBuilder line = null;
    for (Map.Entry<String, Counter> entry : counters.entrySet()) {
      Counter counter = entry.getValue();
      if (counter.value != counter.logged) {
        counter.logged = counter.value;
        line = line == null ? new StringBuilder() : line.append(' ');
        line.append(entry.getKey()).append('=').append(counter.value);
      }
    }
    return line == null ? null : line.toString();
  }
}
