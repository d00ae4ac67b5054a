package elmsail.runtime;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The named figures of a process: counters, gauges and histograms, used on the loop alone. Those
 * that changed are logged in one line every 10 s; {@link PrometheusText} writes all of them. Names
 * are few and fixed: never made of what others send.
 */
public final class Counters {

  private static final Logger LOG = LoggerFactory.getLogger("elmsail.counters");
  private static final long LOG_INTERVAL_MS = 10_000;

  /** What a figure is. */
  enum Kind {
    /** It only grows, from 0 at the start of the process. */
    COUNTER,
    /** A present state: a length, a size, 1 or 0. */
    GAUGE
  }

  /** One number: hold on to it where it is counted often. */
  public static final class Counter {
    private Kind kind;
    private LongSupplier source;
    private long value;
    private long lastLoggedValue;

    private Counter(Kind kind) {
      this.kind = kind;
    }

    /** Adds to the value; {@code more} is negative for gauges alone. */
    public void add(long delta) {
      value += delta;
    }

    /** For what is not a sum: a length, a size. The figure is a gauge from then on. */
    public void set(long newValue) {
      kind = Kind.GAUGE;
      value = newValue;
    }

    /** The present value. */
    public long value() {
      return source == null ? value : source.getAsLong();
    }

    Kind kind() {
      return kind;
    }
  }

  private final Map<MetricName, Counter> counters = new LinkedHashMap<>();
  private final Map<MetricName, Histogram> histograms = new LinkedHashMap<>();

  /** Figures without names yet that are never logged. */
  public Counters() {}

  /** Figures without names yet; the first line is logged 10 s from now on these timers. */
  public Counters(Timers timers) {
    timers.schedule(LOG_INTERVAL_MS, () -> logChanges(timers));
  }

  /** The counter of that name, made at 0 where there is none. */
  public Counter counter(String name) {
    return counter(MetricName.of(name));
  }

  /** The counter of that name, made at 0 where there is none. */
  public Counter counter(MetricName name) {
    return counters.computeIfAbsent(name, made -> new Counter(Kind.COUNTER));
  }

  /** The gauge of that name, made at 0 where there is none. */
  public Counter gauge(String name) {
    return counters.computeIfAbsent(MetricName.of(name), made -> new Counter(Kind.GAUGE));
  }

  /** A counter that is kept elsewhere, and read there whenever the figures are told. */
  public void registerCounter(String name, LongSupplier source) {
    counter(name).source = source;
  }

  /** A gauge that is kept elsewhere, and read there whenever the figures are told. */
  public void registerGauge(String name, LongSupplier source) {
    gauge(name).source = source;
  }

  /** The histogram of that name, in ms, made empty where there is none. */
  public Histogram histogram(String name) {
    return histograms.computeIfAbsent(MetricName.of(name), made -> Histogram.withDefaultBounds());
  }

  /** Counts one more. */
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
   * {@code name=value} of those that changed since it was last asked, with spaces, and of
   * histograms what was observed since then; null if nothing changed.
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
