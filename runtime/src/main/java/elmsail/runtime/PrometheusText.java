package elmsail.runtime;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes the metrics of a process in the Prometheus text exposition format 0.0.4: a {@code # TYPE}
 * line for each family, then a line for each metric. The size is bounded: families that no longer
 * fit are left out.
 */
public final class PrometheusText {

  /** The media type of the format. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  /** The maximum length in characters, all of them ASCII. */
  static final int MAX_CHARS = 64 * 1024;

  private static final String PREFIX = "elmsail_";

  private PrometheusText() {}

  /** The current metrics as text. */
  public static String format(Counters counters) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, StringBuilder> family : families(counters).entrySet()) {
      if (text.length() + family.getValue().length() <= MAX_CHARS) {
        text.append(family.getValue());
      }
    }
    return text.toString();
  }

  private static Map<String, StringBuilder> families(Counters counters) {
    Map<String, StringBuilder> families = new LinkedHashMap<>();
    for (Map.Entry<MetricName, Counters.Counter> entry : counters.counters().entrySet()) {
      Counters.Counter counter = entry.getValue();
      String family = familyName(entry.getKey().family());
      String type = counter.kind() == Counters.Kind.GAUGE ? "gauge" : "counter";
      StringBuilder lines = families.computeIfAbsent(family, name -> typeLine(name, type));
      lines.append(family).append(labels(entry.getKey()));
      lines.append(' ').append(counter.value()).append('\n');
    }
    for (Map.Entry<MetricName, Histogram> entry : counters.histograms().entrySet()) {
      String family = familyName(entry.getKey().family());
      StringBuilder lines = families.computeIfAbsent(family, name -> typeLine(name, "histogram"));
      append(lines, family, entry.getValue());
    }
    return families;
  }

  private static StringBuilder typeLine(String family, String type) {
    return new StringBuilder("# TYPE ").append(family).append(' ').append(type).append('\n');
  }

  private static void append(StringBuilder lines, String family, Histogram histogram) {
    for (int bucket = 0; bucket < histogram.boundCount(); bucket++) {
      bucketLine(
          lines,
          family,
          Long.toString(histogram.boundMs(bucket)),
          histogram.cumulativeCount(bucket));
    }
    bucketLine(lines, family, "+Inf", histogram.count());
    lines.append(family).append("_sum ").append(histogram.sumMs()).append('\n');
    lines.append(family).append("_count ").append(histogram.count()).append('\n');
  }

  private static void bucketLine(StringBuilder lines, String family, String bound, long below) {
    lines.append(family).append("_bucket{le=\"").append(bound).append("\"} ");
    lines.append(below).append('\n');
  }

  private static String labels(MetricName name) {
    return name.label() == null
        ? ""
        : "{" + sanitize(name.label()) + "=\"" + escape(name.labelValue()) + "\"}";
  }

  private static String familyName(String family) {
    return PREFIX + sanitize(family);
  }

  /** Replaces every character that is no letter, digit or underscore by an underscore. */
  private static String sanitize(String name) {
    StringBuilder legal = new StringBuilder(name.length());
    for (int i = 0; i < name.length(); i++) {
      char letter = name.charAt(i);
      boolean allowed =
          letter >= 'a' && letter <= 'z'
              || letter >= 'A' && letter <= 'Z'
              || letter >= '0' && letter <= '9';
      legal.append(allowed ? letter : '_');
    }
    return legal.toString();
  }

  private static String escape(String value) {
    return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }
}
