package elmsail.runtime;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The metrics of a process by name: counters, gauges and histograms. Confined to the event loop.
 * Metrics that changed are logged in one line every 10 s; {@link PrometheusText} writes all of
 * them. Names are a small fixed set, never derived from received data.
 */
public final class Counters {

  private static final Logger LOG = LoggerFactory.getLogger("elmsail.counters");
  private static final long LOG_INTERVAL_MS = 10_000;

  /** The type of a metric. */
  enum Kind {
    /** Only grows, from 0 at the start of the process. */
    COUNTER,
    /** The current state: a length, a size, or 1 or 0 for a condition. */
    GAUGE
  }

  /** One metric; a frequent user keeps the reference rather than looking it up. */
  public static final class Counter {
    private Kind kind;
    private LongSupplier source;
    private long value;
    private long lastLoggedValue;

    private Counter(Kind kind) {
      this.kind = kind;
    }

    /** Adds to the value; {@code delta} may be negative for gauges only. */
    public void add(long delta) {
      value += delta;
    }

    /** Sets the value, for example a length. The metric is a gauge from then on. */
    public void set(long newValue) {
      kind = Kind.GAUGE;
      value = newValue;
    }

    /** The current value. */
    public long value() {
      return source == null ? value : source.getAsLong();
    }

    Kind kind() {
      return kind;
    }
  }

  private final Map<MetricName, Counter> counters = new LinkedHashMap<>();
  private final Map<MetricName, Histogram> histograms = new LinkedHashMap<>();

  /** An empty set of metrics that is never logged. */
  public Counters() {}

  /** An empty set of metrics; the first line is logged in 10 s. */
  public Counters(Timers timers) {
    timers.schedule(LOG_INTERVAL_MS, () -> logChanges(timers));
  }

  /** The counter of that name, created with value 0 if absent. */
  public Counter counter(String name) {
    return counter(MetricName.of(name));
  }

  /** The counter of that name, created with value 0 if absent. */
  public Counter counter(MetricName name) {
    return counters.computeIfAbsent(name, made -> new Counter(Kind.COUNTER));
  }

  /** The gauge of that name, created with value 0 if absent. */
  public Counter gauge(String name) {
    return counters.computeIfAbsent(MetricName.of(name), made -> new Counter(Kind.GAUGE));
  }

  /** Registers a counter whose value is read from {@code source} at each export. */
  public void registerCounter(String name, LongSupplier source) {
    counter(name).source = source;
  }

  /** Registers a gauge whose value is read from {@code source} at each export. */
  public void registerGauge(String name, LongSupplier source) {
    gauge(name).source = source;
  }

  /** The histogram of that name, in ms, created empty if absent. */
  public Histogram histogram(String name) {
    return histograms.computeIfAbsent(MetricName.of(name), made -> Histogram.withDefaultBounds());
  }

  /** Increments the counter of that name by 1. */
  public void increment(String name) {
    counter(name).add(1);
  }

  Map<MetricName, Counter> counters() {
    return counters;
  }

  Map<MetricName, Histogram> histograms() {
    return histograms;
  }

  private void logChanges(Timers timers) {
    timers.schedule(LOG_INTERVAL_MS, () -> logChanges(timers));
    String line = formatChanges();
    if (line != null) {
      LOG.info(line);
    }
  }

  /**
   * The metrics that changed since the last call as {@code name=value}, separated by spaces;
   * histograms with what was observed since then. Null if nothing changed.
   */
  String formatChanges() {
    StringBuilder line = new StringBuilder();
    for (Map.Entry<MetricName, Counter> entry : counters.entrySet()) {
      Counter counter = entry.getValue();
      long value = counter.value();
      if (value != counter.lastLoggedValue) {
        counter.lastLoggedValue = value;
        append(line, entry.getKey().logName(), "", value);
      }
    }
    for (Map.Entry<MetricName, Histogram> entry : histograms.entrySet()) {
      Histogram.Recent recent = entry.getValue().takeRecent();
      if (recent.count() > 0) {
        String name = entry.getKey().logName();
        append(line, name, "_count", recent.count());
        append(line, name, "_p50", recent.p50Ms());
        append(line, name, "_p99", recent.p99Ms());
        append(line, name, "_max", recent.maxMs());
      }
    }
    return line.length() == 0 ? null : line.toString();
  }

  private static void append(StringBuilder line, String name, String suffix, long value) {
    if (line.length() > 0) {
      line.append(' ');
    }
    line.append(name).append(suffix).append('=').append(value);
  }
}
