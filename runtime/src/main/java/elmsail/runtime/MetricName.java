package elmsail.runtime;

/**
 * How a figure is called, in the log and in the text exposition.
 *
 * @param logName in the line of the log
 * @param family in the exposition, without the prefix of the project
 * @param label that tells figures of one family apart; null for a family of one figure
 * @param labelValue of that label; null where there is none
 */
public record MetricName(String logName, String family, String label, String labelValue) {

  /** A figure that is a family of its own. */
  public static MetricName of(String name) {
    return new MetricName(name, name, null, null);
  }
}
