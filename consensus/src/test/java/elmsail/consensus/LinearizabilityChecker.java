package elmsail.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A linearizability checker for a key whose value is a list of marks, each appended once. A history
 * is linearizable if and only if all values read are prefixes of one list, and each value contains
 * all values that were returned before its call began.
 */
final class LinearizabilityChecker {
  private String longest = "";

  /** The longest value returned until a time, with an entry for each time at which it changed. */
  private final TreeMap<Long, String> longestReportedBy = new TreeMap<>();

  private final Map<String, String> onNotApplied = new TreeMap<>();
  final List<String> violations = new ArrayList<>();

  static String text(byte[] value) {
    return value == null ? "" : new String(value, StandardCharsets.US_ASCII);
  }

  /** A call that began at {@code startedAt} returned a value. */
  void onValueRead(long startedAt, long now, byte[] bytes) {
    String value = text(bytes);
    if (!value.startsWith(longest) && !longest.startsWith(value)) {
      violations.add("values diverge: " + longest + " and " + value);
    }
    Map.Entry<Long, String> before = longestReportedBy.lowerEntry(startedAt);
    if (before != null && value.length() < before.getValue().length()) {
      violations.add(
          "stale value at "
              + now
              + ": "
              + value
              + " where "
              + before.getValue()
              + " was returned before "
              + startedAt);
    }
    if (value.length() > longest.length()) {
      longest = value;
    }
    Map.Entry<Long, String> last = longestReportedBy.floorEntry(now);
    if (last == null || last.getValue().length() < value.length()) {
      longestReportedBy.put(now, value);
    }
  }

  /** The change of this mark failed with an error that guarantees that it was not applied. */
  void onNotApplied(String mark) {
    onNotApplied.put(mark, mark);
  }

  void onFinalValue(byte[] last) {
    String value = text(last);
    if (!value.startsWith(longest)) {
      violations.add("the final value " + value + " lacks " + longest);
    }
    for (String mark : onNotApplied.keySet()) {
      if (value.contains(mark)) {
        violations.add("reported as not applied, but applied: " + mark);
      }
    }
    String[] marks = value.split(";");
    for (int i = 0; i < marks.length; i++) {
      for (int j = 0; j < i; j++) {
        if (marks[i].equals(marks[j])) {
          violations.add("applied twice: " + marks[i]);
        }
      }
    }
  }
}
