package willowdoor.lab.run;

import java.util.List;
import java.util.Map;

/** Something that the schedule does at a time after the load has begun. */
record Step(long atMs, Action action, List<String> targets, Map<String, Object> args) {

  double number(String name, double absent) {
    return args.get(name) instanceof Number n ? n.doubleValue() : absent;
  }

  String text(String name, String absent) {
    return args.get(name) instanceof String s ? s : absent;
  }

  /** The parties that {@code to} names; null where it is not given. */
  List<String> to() {
    return args.get("to") instanceof List<?> names
        ? names.stream().map(String.class::cast).toList()
        : null;
  }

  @Override
  public String toString() {
    return atMs + " ms: " + action.word() + ' ' + targets + (args.isEmpty() ? "" : " " + args);
  }
}
