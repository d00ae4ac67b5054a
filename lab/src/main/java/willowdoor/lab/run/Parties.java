package willowdoor.lab.run;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The parties of a run by name, and the ways to name some of them: a name, {@code doors}, {@code
 * servers}, {@code all}, {@code doors:0-4} by number, {@code doors:30%} drawn from the seed (one at
 * least), and {@code rest} for the front doors that are not among the others.
 */
final class Parties {

  static final String CLIENTS = "clients";
  static final String COUNTER = "counter";
  static final String DISCOVERY = "discovery";

  private static final Pattern RANGE = Pattern.compile("(doors|servers):(\\d{1,5})-(\\d{1,5})");
  private static final Pattern SHARE = Pattern.compile("(doors|servers):(\\d{1,3})%");
  private static final Pattern TWIN = Pattern.compile("[a-z][a-z0-9-]{0,30}");

  private final List<String> doors = new ArrayList<>();
  private final List<String> servers = new ArrayList<>();

  Parties(int doorCount, List<String> twins, int serverCount) {
    for (int i = 0; i < doorCount; i++) {
      doors.add("n" + i);
    }
    doors.addAll(twins);
    for (int i = 0; i < serverCount; i++) {
      servers.add(String.format("s-%04d", i));
    }
  }

  static boolean isName(String name) {
    return TWIN.matcher(name).matches();
  }

  List<String> doors() {
    return doors;
  }

  List<String> servers() {
    return servers;
  }

  private List<String> all() {
    List<String> all = new ArrayList<>(doors);
    all.addAll(servers);
    Collections.addAll(all, COUNTER, DISCOVERY, CLIENTS);
    return all;
  }

  private List<String> of(String group) {
    return group.equals("doors") ? doors : servers;
  }

  /** Whether a selector names anybody here; {@code rest} only beside others. */
  boolean knows(String selector) {
    Matcher range = RANGE.matcher(selector);
    Matcher share = SHARE.matcher(selector);
    if (range.matches()) {
      int from = Integer.parseInt(range.group(2));
      int to = Integer.parseInt(range.group(3));
      return from <= to && to < of(range.group(1)).size();
    }
    return share.matches()
        ? Integer.parseInt(share.group(2)) <= 100
        : Set.of("doors", "servers", "all", "rest").contains(selector) || all().contains(selector);
  }

  /** Whether all that it names are of the kind. */
  boolean fits(String selector, Action.Kind kind) {
    return switch (kind) {
      case ANY -> true;
      case DOORS -> selector.startsWith("doors") || doors.contains(selector);
      case SERVERS -> selector.startsWith("servers") || servers.contains(selector);
      case NONE -> false;
    };
  }

  /**
   * Those that the selectors name, in order; {@code rest} are the front doors that are not among
   * others.
   */
  List<String> resolve(List<String> selectors, List<String> others, RandomGenerator random) {
    Set<String> named = new LinkedHashSet<>();
    for (String selector : selectors) {
      Matcher range = RANGE.matcher(selector);
      Matcher share = SHARE.matcher(selector);
      if (range.matches()) {
        named.addAll(
            of(range.group(1))
                .subList(Integer.parseInt(range.group(2)), Integer.parseInt(range.group(3)) + 1));
      } else if (share.matches()) {
        List<String> shuffled = new ArrayList<>(of(share.group(1)));
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        long count = Math.round(shuffled.size() * Integer.parseInt(share.group(2)) / 100.0);
        named.addAll(shuffled.subList(0, (int) Math.max(Math.min(1, shuffled.size()), count)));
      } else {
        switch (selector) {
          case "doors", "servers" -> named.addAll(of(selector));
          case "all" -> named.addAll(all());
          case "rest" -> doors.stream().filter(d -> !others.contains(d)).forEach(named::add);
          default -> named.add(selector);
        }
      }
    }
    return List.copyOf(named);
  }
}
