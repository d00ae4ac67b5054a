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
 * All that a state machine holds as plain values, so that two of them can be told to be the same.
 * What can make no difference any more is alike: times that are over, when a fact was noted, who is
 * told to have confirmed. Acceptors can be given other numbers, as it makes none which of them is
 * which.
 */
final class StateImage {
  private final long now;
  private final int[] acceptorNumbers;

  /**
   * {@code now}: what ended before is over; {@code acceptorNumbers}: the number that stands for
   * each.
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
