package elmsail.rpc;

import io.protostuff.Tag;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Makes messages with each field set to a value of its own. The values depend on the fields'
 * numbers and types alone, so a field may get another name, but not another number or type, without
 * its message's bytes changing.
 */
final class FilledMessages {

  private static final int LIST_ELEMENTS = 2;
  private static final long LONG_STEP = 1_000_000_007L;
  private static final int INT_STEP = 1_009;

  private int lastValue;

  private FilledMessages() {}

  /** A message of that class whose fields, nested ones included, all differ. */
  static Object filled(Class<?> type) throws ReflectiveOperationException {
    return new FilledMessages().message(type);
  }

  /** The fields of a message class by their numbers on the wire. */
  static Map<Integer, Field> fieldsByNumber(Class<?> type) {
    Map<Integer, Field> fields = new TreeMap<>();
    int place = 0;
    for (Field field : type.getDeclaredFields()) {
      if (!isWritten(field)) {
        continue;
      }
      place++;
      Tag tag = field.getAnnotation(Tag.class);
      Field before = fields.put(tag == null ? place : tag.value(), field);
      if (before != null) {
        throw new AssertionError(type.getSimpleName() + ": two fields of one number");
      }
    }
    return fields;
  }

  private static boolean isWritten(Field field) {
    return !field.isSynthetic()
        && !Modifier.isStatic(field.getModifiers())
        && !Modifier.isTransient(field.getModifiers());
  }

  private Object message(Class<?> type) throws ReflectiveOperationException {
    Object message = type.getDeclaredConstructor().newInstance();
    for (Field field : fieldsByNumber(type).values()) {
      if (field.getType() == boolean.class) {
        field.setBoolean(message, !field.getBoolean(message));
      } else {
        field.set(message, value(field.getGenericType()));
      }
    }
    return message;
  }

  private Object value(Type type) throws ReflectiveOperationException {
    if (type instanceof ParameterizedType list && list.getRawType() == List.class) {
      List<Object> elements = new ArrayList<>();
      for (int i = 0; i < LIST_ELEMENTS; i++) {
        elements.add(value(list.getActualTypeArguments()[0]));
      }
      return elements;
    }
    if (type == long.class) {
      return ++lastValue * LONG_STEP;
    }
    if (type == int.class || type == Integer.class) {
      return ++lastValue * INT_STEP;
    }
    if (type == String.class) {
      return "text-\u00e4-" + ++lastValue;
    }
    if (type == byte[].class) {
      byte first = (byte) ++lastValue;
      return new byte[] {first, 0, (byte) -first};
    }
    return message((Class<?>) type);
  }
}
