package elmsail.runtime;

/**
 * The name of a metric in the log and in the Prometheus text exposition.
 *
 * @param logName the name in log lines
 * @param family the metric family in the exposition, without the common prefix
 * @param label the label that distinguishes metrics of the family; null for a family of one metric
 * @param labelValue the value of that label; null without a label
 */
public record MetricName(String logName, String family, String label, String labelValue) {

  /** The name of a metric that is a family of its own. */
  public static MetricName of(String name) {
    return new MetricName(name, name, null, null);
  }
}
