package willowdoor.purge;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import willowdoor.purge.Message.Result;

/**
 * Converts the fields of a state machine to plain values, so that two state machines can be
 * compared. Differences without effect are removed: times that are over, the time at which a value
 * was stored, and the members that confirmed. The acceptors can be renumbered, because their
 * numbers make no difference. Fields are selected by name: rename them here too.
 */
final class StateImage {
  private final long now;
  private final int[] acceptorNumbers;

  /**
   * {@code now}: earlier times are over; {@code acceptorNumbers}: the new number of each acceptor.
   */
  StateImage(long now, int... acceptorNumbers) {
    this.now = now;
    this.acceptorNumbers = acceptorNumbers;
  }

  Object of(Object value) {
    if (value instanceof Map<?, ?> map) {
      List<Object> image = new ArrayList<>();
      map.forEach(
          (key, held) -> {
            image.add(of(key));
            image.add(of(held));
          });
      return image;
    }
    if (value instanceof Collection<?> collection) {
      return collection.stream().map(this::of).toList();
    }
    Class<?> type = value == null ? Object.class : value.getClass();
    if (value == null
        || value instanceof Result
        || value instanceof Rules
        || value instanceof Retransmission
        || value instanceof Fleet) {
      return type;
    }
    if (type.isRecord() && !type.getName().endsWith("TimedValue")
        || !type.getName().startsWith("willowdoor.")) {
      return value;
    }
    List<Object> image = new ArrayList<>(List.of(type));
    try {
      for (Field field : type.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers())) {
          field.setAccessible(true);
          image.add(field(field.getName(), field.get(value)));
        }
      }
    } catch (IllegalAccessException e) {
      throw new AssertionError(e);
    }
    return image;
  }

  private Object field(String name, Object value) {
    switch (name) {
      case "lastGrantNumbers":
      case "grantedUntil":
        long[] until = (long[]) value;
        Object[] ends = new Object[until.length];
        for (int i = 0; i < ends.length; i++) {
          ends[acceptorNumbers[i]] = name.equals("grantedUntil") && until[i] <= now ? 0 : until[i];
        }
        return Arrays.asList(ends);
      case "lastGrantRuns":
        Object[] runs = new Object[acceptorNumbers.length];
        for (int i = 0; i < runs.length; i++) {
          runs[acceptorNumbers[i]] = ((List<?>) value).get(i);
        }
        return Arrays.asList(runs);
      case "acceptorStates":
        TreeMap<Integer, Object> states = new TreeMap<>();
        ((Map<?, ?>) value)
            .forEach((acceptor, state) -> states.put(acceptorNumbers[(Integer) acceptor], state));
        return of(states);
      case "leaseEnds":
      case "uncoveredLeases":
        return ((Map<?, ?>) value)
            .entrySet().stream()
                .filter(wait -> (Long) wait.getValue() > now)
                .map(Object::toString)
                .toList();
      case "leaseEnd":
        return (Long) value <= now ? 0 : value;
      case "renewedAt":
        return (Long) value < now ? -1 : value;
      case "storedAt":
        return 0;
      case "sentAt":
        return value instanceof long[] numbers ? Arrays.toString(numbers) : value.toString();
      default:
        return of(value);
    }
  }
}
